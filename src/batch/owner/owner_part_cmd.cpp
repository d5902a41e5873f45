#include "batch/owner/owner_part_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/owner/demand_func.h"
#include "batch/owner/run_name_func.h"
#include "batch/owner/run_review_func.h"
#include "batch/policy/room_search_base.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration jobWatchWait = absl::Seconds(2);
constexpr absl::Duration workerWatchWait = absl::Seconds(2);
constexpr absl::Duration listTimeout = absl::Seconds(2);
constexpr absl::Duration loadRetryPeriod = absl::Milliseconds(150);
// Events that come together are served by one choice.
constexpr absl::Duration shortestAllocationPause = absl::Milliseconds(10);
constexpr absl::Duration longestAllocationPause = absl::Milliseconds(150);
// What a choice takes of a whole processor for each worker and each step that waits, and the share of the node's
// processor that choices may take together. A node that does nothing but choose cannot renew its lease.
constexpr absl::Duration choiceTimePerWorker = absl::Microseconds(3);
constexpr absl::Duration choiceTimePerStep = absl::Microseconds(10);
constexpr double choiceShare = 0.1;
// How long a new owner waits for workers that do not answer.
constexpr absl::Duration settlePatience = absl::Milliseconds(700);
// Waiting tasks are looked at again this often, since patience and objectives change with time alone.
constexpr absl::Duration reallocationPeriod = absl::Milliseconds(500);

// A node with less than this share of a processor lets others take the ownership first.
constexpr double ampleShare = 0.5;
constexpr absl::Duration longestClaimDelay = absl::Milliseconds(500);

absl::Duration claimDelayOf(double processorShare)
{
    const double missing = std::max(0.0, 1 - processorShare / ampleShare);
    return longestClaimDelay * missing;
}

absl::Duration allocationPauseOf(const AllocationInput& input, double processorShare)
{
    const absl::Duration choiceTime = choiceTimePerWorker * static_cast<std::int64_t>(input.rooms.size())
        + choiceTimePerStep * static_cast<std::int64_t>(input.demands.size());
    return std::clamp(choiceTime / (choiceShare * processorShare), shortestAllocationPause, longestAllocationPause);
}

} // namespace

OwnerPart::OwnerPart(const NodeSettings& settings, std::unique_ptr<AllocationPolicy> policy)
    : m_settings(settings)
    , m_policy(std::move(policy))
    , m_random(settings.seed)
    , m_ownership(settings.self, claimDelayOf(settings.processorShare), m_random)
    , m_jobFollower(Collection::Jobs, jobWatchWait)
    , m_workerFollower(Collection::Workers, workerWatchWait)
    , m_fleet(settings.session)
    , m_writer(m_book)
{
}

Effects OwnerPart::handle(const Event& event, absl::Time now)
{
    absl::MutexLock lock(&m_mutex);
    // A node that stood still for long finds its lease gone before it does anything else.
    takeOwnership(m_ownership.checkLease(now), now);
    take(event, now);
    m_ownership.advance(m_outbox, now);
    if (m_ownership.isOwner())
        advance(now);
    advanceDrain();
    m_outbox.add(WakeAtEffect { nextDue(now) });
    return m_outbox.take();
}

void OwnerPart::take(const Event& event, absl::Time now)
{
    if (const auto* store = std::get_if<StoreEvent>(&event)) {
        takeStoreReply(*store, now);
    } else if (const auto* worker = std::get_if<WorkerEvent>(&event)) {
        if (m_fleet.isMine(worker->call))
            takeFleetNews(m_fleet.takeReply(worker->call, worker->reply, now), now);
    } else if (const auto* routes = std::get_if<RoutesEvent>(&event)) {
        m_routes = routes->routes;
    } else if (std::holds_alternative<DrainEvent>(event)) {
        m_isDraining = true;
    }
}

void OwnerPart::takeStoreReply(const StoreEvent& event, absl::Time now)
{
    if (m_ownership.isMine(event.call)) {
        takeOwnership(m_ownership.takeReply(event.call, event.reply, now), now);
        return;
    }
    if (!m_ownership.isOwner())
        return;
    if (m_jobFollower.isMine(event.call))
        takeJobs(m_jobFollower.takeReply(event.reply, now), now);
    else if (m_workerFollower.isMine(event.call))
        takeWorkers(m_workerFollower.takeReply(event.reply, now), now);
    else if (m_writer.isMine(event.call))
        takeWritten(m_writer.takeReply(event.reply, now), now);
    else if (event.call == m_loading.progressCall)
        takeProgress(event.reply, now);
    else if (event.call == m_loading.countsCall)
        takeCounts(event.reply, now);
}

void OwnerPart::takeOwnership(const OwnershipNews& news, absl::Time now)
{
    if (!news.isTaken && !news.isLost)
        return;
    DecisionEffect decision;
    decision.kind = news.isTaken ? DecisionEffect::Kind::OwnershipTaken : DecisionEffect::Kind::OwnershipLost;
    decision.reason = news.reason;
    decision.epoch = m_ownership.epoch();
    m_outbox.log(std::move(decision));
    m_book.clear();
    m_fleet.reset(m_ownership.epoch());
    m_writer.reset();
    m_jobFollower.stop();
    m_workerFollower.stop();
    m_loading = Loading();
    m_allocatedAt = now;
}

void OwnerPart::advanceLoading(absl::Time now)
{
    if (now < m_loading.retryAt)
        return;
    if (!m_loading.hasProgress && m_loading.progressCall == 0)
        m_loading.progressCall = m_outbox.toStore(ReadCollection { Collection::Progress }, listTimeout);
    if (!m_loading.hasCounts && m_loading.countsCall == 0)
        m_loading.countsCall = m_outbox.toStore(ReadRecord { { Collection::QueueCounts, "" } }, listTimeout);
    const bool isRead = m_loading.hasProgress && m_loading.hasCounts && m_loading.hasJobs && m_loading.hasWorkers;
    if (isRead && !m_loading.isDone)
        finishLoading(now);
}

void OwnerPart::takeProgress(const StoreReply& reply, absl::Time now)
{
    m_loading.progressCall = 0;
    if (!reply.status.ok()) {
        m_loading.retryAt = now + loadRetryPeriod;
        return;
    }
    m_loading.hasProgress = true;
    for (const Record& record : reply.records) {
        if (const auto* progress = std::get_if<ProgressRecord>(&record.value))
            m_book.addProgress(JobId(record.key.name), *progress, record.revision);
        else
            logUnreadable(record);
    }
}

void OwnerPart::takeCounts(const StoreReply& reply, absl::Time now)
{
    m_loading.countsCall = 0;
    const bool isAbsent = errorKindOf(reply.status) == ErrorKind::NotFound;
    if (!reply.status.ok() && !isAbsent) {
        m_loading.retryAt = now + loadRetryPeriod;
        return;
    }
    m_loading.hasCounts = true;
    if (isAbsent || reply.records.empty())
        return;
    const Record& record = reply.records.front();
    const auto* counts = std::get_if<QueueCounts>(&record.value);
    m_writer.noteCounts(counts == nullptr ? QueueCounts() : *counts, record.revision);
}

// Everything has been read. Runs that the store tells of take room until their workers have been looked at.
void OwnerPart::finishLoading(absl::Time now)
{
    m_loading.isDone = true;
    m_loading.doneAt = now;
    for (auto& [id, entry] : m_book.entries())
        adoptRuns(entry, now);
    std::vector<JobId> cancelled;
    for (const auto& [id, entry] : m_book.entries()) {
        if (m_book.isCancelled(id))
            cancelled.push_back(id);
    }
    for (const JobId& job : cancelled)
        cancelJob(job, now);
    m_isAllocationDue = true;
}

void OwnerPart::adoptRuns(JobEntry& entry, absl::Time now)
{
    for (const TaskRef& task : entry.progress.placedTasks()) {
        const TaskProgress& placed = *entry.progress.find(task);
        const RunKey run { { entry.progress.job().id, task }, placed.attempt };
        WorkerSession& session = m_fleet.findOrRemember(placed.worker, placed.workerBornMs);
        session.adopt(run, countedDemand(entry.progress.stepSpec(task.step)), now);
    }
    if (entry.progress.isFinal())
        stopRunsOf(entry, now);
}

void OwnerPart::takeJobs(const CollectionNews& news, absl::Time now)
{
    for (const Record& record : news.records) {
        const JobId id(record.key.name);
        if (const auto* job = std::get_if<Job>(&record.value)) {
            learnJob(*job, now);
        } else if (std::holds_alternative<Cancellation>(record.value)) {
            m_book.addCancellation(id);
            if (m_loading.isDone)
                cancelJob(id, now);
        } else if (std::holds_alternative<UnreadableRecord>(record.value)) {
            logUnreadable(record);
        }
    }
    m_loading.hasJobs = m_loading.hasJobs || news.isWhole;
}

void OwnerPart::learnJob(const Job& job, absl::Time now)
{
    if (!m_book.add(job) || !m_loading.isDone)
        return;
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobLearned;
    decision.job = job.id.str();
    decision.queue = job.queue.str();
    decision.organisation = job.organisation.str();
    decision.age = now - job.acceptedAt;
    m_outbox.log(std::move(decision));
    m_isAllocationDue = true;
    if (m_book.isCancelled(job.id))
        cancelJob(job.id, now);
}

void OwnerPart::cancelJob(const JobId& job, absl::Time now)
{
    JobEntry* entry = m_book.find(job);
    if (entry == nullptr || !entry->progress.cancel(now))
        return;
    m_book.markDirty(*entry);
    stopRunsOf(*entry, now);
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobEnded;
    decision.job = job.str();
    decision.outcome = "aborted";
    m_outbox.log(std::move(decision));
}

void OwnerPart::stopRunsOf(JobEntry& entry, absl::Time now)
{
    const JobId& job = entry.progress.job().id;
    std::vector<PlacedRun> runs;
    for (const auto& [name, session] : m_fleet.sessions()) {
        for (const auto& [run, slot] : session.runs()) {
            if (run.task.job == job)
                runs.push_back({ run, name });
        }
    }
    for (const PlacedRun& placed : runs)
        stopRun(placed.run, placed.worker, now);
}

// The other members of an attempt that has lost one would wait in vain.
void OwnerPart::stopGangOf(JobEntry& entry, const RunKey& run, absl::Time now)
{
    const TaskRef& ended = run.task.task;
    const std::int32_t count = entry.progress.stepSpec(ended.step).taskCount;
    for (std::int32_t index = 0; index < count; ++index) {
        const TaskRef member { ended.occurrence, ended.step, index };
        const TaskProgress* task = entry.progress.find(member);
        if (task == nullptr || task->phase != TaskProgress::Phase::Placed || task->attempt != run.attempt)
            continue;
        const WorkerName worker = task->worker;
        stopRun({ { run.task.job, member }, run.attempt }, worker, now);
    }
}

void OwnerPart::stopRun(const RunKey& run, const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_fleet.find(worker);
    if (session == nullptr || session->isStopWanted(run))
        return;
    logRun(DecisionEffect::Kind::RunStopped, run, worker, "");
    if (const absl::optional<EndedRun> ended = session->stop(run, now))
        takeEnd(*ended, { worker, session->entry().bornMs, {} }, now);
}

void OwnerPart::takeWorkers(const CollectionNews& news, absl::Time now)
{
    for (const Record& record : news.records) {
        if (std::holds_alternative<UnreadableRecord>(record.value))
            logUnreadable(record);
    }
    for (const FleetNews& one : m_fleet.takeRecords(news.records, news.isWhole, now))
        takeFleetNews(one, now);
    m_loading.hasWorkers = m_loading.hasWorkers || news.isWhole;
    m_isAllocationDue = true;
}

void OwnerPart::takeFleetNews(const FleetNews& news, absl::Time now)
{
    if (news.session.isFenced) {
        takeOwnership(m_ownership.lose(absl::StrCat(news.worker.text(), " has seen a larger epoch"), now), now);
        return;
    }
    if (news.session.isLost || news.session.isRegained)
        logWorker(news);
    if (news.session.isRegained)
        m_isAllocationDue = true;
    for (const EndedRun& ended : news.session.ended)
        takeEnd(ended, news, now);
    for (const RunningRow& row : news.session.running)
        takeRunning(row, news.worker, now);
    if (!news.session.running.empty())
        reviewWorker(news.worker, now);
}

void OwnerPart::reviewWorker(const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_fleet.find(worker);
    const RunReview review = reviewRuns(*session, m_book, now);
    for (const RunKey& run : review.standing) {
        const StepSpec& spec = m_book.find(run.task.job)->progress.stepSpec(run.task.task.step);
        session->health().noteStandstill(run.task.job, spec.isGang, now);
    }
    for (const RunKey& run : review.misplaced)
        stopRun(run, worker, now);
}

void OwnerPart::noteHealth(const EndedRun& ended, const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_fleet.find(worker);
    if (session == nullptr)
        return;
    if (ended.end == RunEnd::Done)
        session->health().noteDone();
    else if (ended.end == RunEnd::Failed)
        session->health().noteFailed(ended.run.task.job, now);
}

void OwnerPart::takeEnd(const EndedRun& ended, const FleetNews& news, absl::Time now)
{
    m_isAllocationDue = true;
    noteHealth(ended, news.worker, now);
    logRun(DecisionEffect::Kind::RunEnded, ended.run, news.worker, runEndName(ended.end));
    JobEntry* entry = m_book.find(ended.run.task.job);
    const TaskRef& task = ended.run.task.task;
    const bool wasFinal = entry != nullptr && entry->progress.isFinal();
    const bool isChanged
        = entry != nullptr && entry->progress.noteEnd(task, ended.run.attempt, ended.end, ended.checkpoint, now);
    // What the end rests on may not be written yet, for instance that another member has ended the gang.
    const bool isDurable = !isChanged && (entry == nullptr || !(entry->isDirty || entry->isWriting));
    if (isDurable) {
        WorkerSession* session = m_fleet.find(news.worker);
        if (session != nullptr && ended.number != 0)
            session->noteDurableEnd(ended.number);
        return;
    }
    m_book.markDirty(*entry);
    if (ended.number != 0)
        entry->pending.ends.push_back({ news.worker, news.bornMs, ended.number });
    if (!isChanged)
        return;
    if (entry->progress.stepSpec(task.step).isGang && ended.end != RunEnd::Done)
        stopGangOf(*entry, ended.run, now);
    if (wasFinal || !entry->progress.isFinal())
        return;
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobEnded;
    decision.job = ended.run.task.job.str();
    decision.queue = entry->progress.job().queue.str();
    decision.outcome = entry->progress.phase() == JobPhase::Completed ? "completed" : "failed";
    decision.age = now - entry->progress.job().acceptedAt;
    m_outbox.log(std::move(decision));
    stopRunsOf(*entry, now);
}

void OwnerPart::takeRunning(const RunningRow& row, const WorkerName& worker, absl::Time now)
{
    JobEntry* entry = m_book.find(row.run.task.job);
    const TaskRef& task = row.run.task.task;
    if (entry != nullptr && entry->progress.wants(task, row.run.attempt, worker)) {
        entry->progress.noteCheckpoint(task, row.run.attempt, row.checkpoint);
        return;
    }
    WorkerSession* session = m_fleet.find(worker);
    if (!session->runs().contains(row.run))
        return;
    if (entry != nullptr && entry->progress.find(task) != nullptr)
        session->setDemand(row.run, countedDemand(entry->progress.stepSpec(task.step)));
    stopRun(row.run, worker, now);
}

void OwnerPart::takeWritten(const WriteNews& news, absl::Time now)
{
    if (news.isDeposed) {
        takeOwnership(m_ownership.lose("another node has raised the epoch", now), now);
        return;
    }
    for (const ListedEnd& end : news.ends) {
        WorkerSession* session = m_fleet.find(end.worker);
        if (session != nullptr && session->entry().bornMs == end.workerBornMs)
            session->noteDurableEnd(end.number);
    }
    for (const PlacedRun& placed : news.placed)
        releaseRun(placed, now);
}

// A run whose job or worker has changed its mind meanwhile is not told to the worker at all.
void OwnerPart::releaseRun(const PlacedRun& placed, absl::Time now)
{
    WorkerSession* session = m_fleet.find(placed.worker);
    const JobEntry* entry = m_book.find(placed.run.task.job);
    if (session == nullptr || entry == nullptr)
        return;
    const bool isWanted
        = entry->progress.wants(placed.run.task.task, placed.run.attempt, placed.worker) && session->takesWork(now);
    if (isWanted)
        session->release(placed.run, now);
    else
        stopRun(placed.run, placed.worker, now);
}

absl::Time OwnerPart::nextAllocation() const
{
    absl::Time due = absl::InfiniteFuture();
    if (m_isAllocationDue)
        due = m_allocatedAt + m_allocationPause;
    if (m_hasUnplaced)
        due = std::min(due, m_allocatedAt + reallocationPeriod);
    // A choice among the few workers that answered first would evict what need not be.
    return m_fleet.isSettled() ? due : std::max(due, m_loading.doneAt + settlePatience);
}

void OwnerPart::allocate(absl::Time now)
{
    m_isAllocationDue = false;
    m_allocatedAt = now;
    AllocationInput input = describeAllocation(m_fleet, m_book, m_routes.get(), now);
    m_hasUnplaced = !input.demands.empty();
    m_allocationPause = allocationPauseOf(input, m_settings.processorShare);
    if (input.demands.empty())
        return;
    const Allocation allocation = m_policy->choose(input.rooms, input.demands, now);
    place(allocation.placements, now);
    for (const Eviction& eviction : allocation.evictions) {
        logRun(DecisionEffect::Kind::RunEvicted, eviction.run, eviction.worker, "");
        stopRun(eviction.run, eviction.worker, now);
    }
}

void OwnerPart::place(absl::Span<const Placement> placements, absl::Time now)
{
    // Before any is placed, so that the members of a gang get the same number.
    std::vector<std::int32_t> attempts;
    attempts.reserve(placements.size());
    for (const Placement& placement : placements)
        attempts.push_back(m_book.find(placement.task.job)->progress.nextAttempt(placement.task.task));
    for (std::size_t i = 0; i < placements.size(); ++i)
        placeRun({ placements[i].task, attempts[i] }, placements[i].worker, now);
}

void OwnerPart::placeRun(const RunKey& run, const WorkerName& worker, absl::Time now)
{
    const TaskRef& task = run.task.task;
    JobEntry& entry = *m_book.find(run.task.job);
    WorkerSession& session = *m_fleet.find(worker);
    session.reserve(run, countedDemand(entry.progress.stepSpec(task.step)), now);
    entry.progress.place(task, run.attempt, worker, session.entry().bornMs);
    entry.pending.placed.push_back({ run, worker });
    entry.readySince.erase({ task.occurrence, task.step });
    m_book.markDirty(entry);
    logRun(DecisionEffect::Kind::RunPlaced, run, worker, "");
}

void OwnerPart::advance(absl::Time now)
{
    m_jobFollower.advance(m_outbox, now);
    m_workerFollower.advance(m_outbox, now);
    advanceLoading(now);
    if (!m_loading.isDone)
        return;
    for (const FleetNews& lapsed : m_fleet.takeLapsed(now))
        takeFleetNews(lapsed, now);
    if (m_book.openDue(now))
        m_isAllocationDue = true;
    if (nextAllocation() <= now && !m_isDraining)
        allocate(now);
    m_writer.advance(m_ownership.expectation(), m_outbox, now);
    m_fleet.advance(*this, m_outbox, now);
}

void OwnerPart::advanceDrain()
{
    if (!m_isDraining || m_isDrained)
        return;
    if (!m_ownership.hasResigned()) {
        m_ownership.resign(m_outbox);
        return;
    }
    m_isDrained = true;
    m_outbox.notify(directoryPart, PartDrainedEvent());
}

absl::Time OwnerPart::nextDue(absl::Time now) const
{
    absl::Time due = m_ownership.nextDue();
    if (!m_ownership.isOwner())
        return std::max(due, now);
    due = std::min({ due, m_jobFollower.nextDue(), m_workerFollower.nextDue() });
    if (!m_loading.isDone)
        return std::max(std::min(due, std::max(m_loading.retryAt, now + loadRetryPeriod)), now);
    due = std::min({ due, m_writer.nextDue(), m_fleet.nextDue(), m_book.nextDue() });
    return std::max(std::min(due, nextAllocation()), now);
}

StartRun OwnerPart::describeStart(const RunKey& run) const
{
    StartRun start { run, "", "" };
    // Only runs of known jobs are started.
    const JobEntry* entry = const_cast<JobBook&>(m_book).find(run.task.job);
    if (entry == nullptr)
        return start;
    start.payload = entry->progress.job().spec.payload;
    if (const TaskProgress* task = entry->progress.find(run.task.task))
        start.checkpoint = task->checkpoint;
    return start;
}

void OwnerPart::logRun(
    DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker, absl::string_view outcome)
{
    DecisionEffect decision;
    decision.kind = kind;
    decision.job = run.task.job.str();
    decision.run = runName(run);
    decision.worker = worker.str();
    decision.outcome = std::string(outcome);
    decision.epoch = m_ownership.epoch();
    m_outbox.log(std::move(decision));
}

void OwnerPart::logWorker(const FleetNews& news)
{
    DecisionEffect decision;
    decision.kind = news.session.isLost ? DecisionEffect::Kind::WorkerLost : DecisionEffect::Kind::WorkerFound;
    decision.worker = news.worker.str();
    decision.epoch = m_ownership.epoch();
    decision.version = news.bornMs;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logUnreadable(const Record& record)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::RecordUnreadable;
    decision.run = record.key.name;
    decision.version = record.revision;
    if (const auto* unreadable = std::get_if<UnreadableRecord>(&record.value))
        decision.reason = unreadable->reason;
    m_outbox.log(std::move(decision));
}

} // namespace mangohall::batch
