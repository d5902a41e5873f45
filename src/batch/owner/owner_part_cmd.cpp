#include "batch/owner/owner_part_base.h"

#include <algorithm>
#include <utility>

#include "batch/owner/start_allowance_func.h"
#include "batch/policy/capacity_index_base.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration jobWatchWait = absl::Seconds(2);
constexpr absl::Duration workerWatchWait = absl::Seconds(1);
// Each worker renews its entry about every second.
constexpr absl::Duration workerWatchPause = absl::Milliseconds(150);
// An owner that is behind reads of leaving workers late, so it starts nothing on an older list of workers. A watch that
// gets its reply in time confirms the list more often than this.
constexpr absl::Duration maxWorkerListAge = absl::Milliseconds(2200);
// Events that arrive together are served by one allocation round.
constexpr absl::Duration shortestAllocationPause = absl::Milliseconds(10);
// How long a new owner waits for workers that do not reply before it starts tasks without them.
constexpr absl::Duration workerReplyTimeout = absl::Milliseconds(700);
// Waiting tasks are considered again at this interval, since grace periods and target completion times pass without any
// event.
constexpr absl::Duration reallocationPeriod = absl::Milliseconds(500);

// A node with less than this share of a processor delays its claim, so that other nodes take the ownership first.
constexpr double shareWithoutDelay = 0.5;
constexpr absl::Duration longestClaimDelay = absl::Milliseconds(500);

absl::Duration claimDelayOf(double processorShare)
{
    const double missing = std::max(0.0, 1 - processorShare / shareWithoutDelay);
    return longestClaimDelay * missing;
}

} // namespace

OwnerPart::OwnerPart(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy)
    : m_settings(settings)
    , m_clock(clock)
    , m_policy(std::move(policy))
    , m_random(settings.seed)
    , m_ownership(settings.self, claimDelayOf(settings.processorShare), settings.processorShare, m_random)
    , m_request(settings.self, settings.processorShare, m_random)
    , m_jobFollower(Collection::Jobs, jobWatchWait, absl::ZeroDuration(), CollectionFollower::ReadMode::Pages)
    , m_workerFollower(Collection::Workers, workerWatchWait, workerWatchPause)
    , m_jobs(settings.recordLimits, settings.jobMemoryBytes)
    , m_workers(settings.session, settings.processorShare)
    , m_writer(m_jobs)
    , m_allocationPacer(shortestAllocationPause)
    , m_load(settings.processorShare)
{
}

Effects OwnerPart::handle(const Event& event, absl::Time now)
{
    absl::MutexLock lock(&m_mutex);
    // A node whose process was suspended finds its lease expired before it does anything else.
    applyOwnershipUpdate(m_ownership.checkLease(now), now);
    handleEvent(event, now);
    advanceYield(now);
    m_ownership.advance(m_outbox, now);
    m_request.advance(m_ownership.holder(), m_ownership.candidate(), m_outbox, now);
    if (m_ownership.isOwner())
        advance(now);
    advanceDrain(now);
    const absl::Time due = nextDue(now);
    m_load.recordWakeTime(due);
    m_outbox.add(WakeAtEffect { due });
    return m_outbox.take();
}

void OwnerPart::handleEvent(const Event& event, absl::Time now)
{
    if (const auto* store = std::get_if<StoreEvent>(&event)) {
        handleStoreReply(*store, now);
    } else if (const auto* worker = std::get_if<WorkerEvent>(&event)) {
        if (m_workers.ownsCall(worker->call))
            applyWorkerUpdate(m_workers.handleReply(worker->call, worker->reply, now), now);
    } else if (const auto* routes = std::get_if<RoutesEvent>(&event)) {
        m_routes = routes->routes;
        m_directoryConfirmedAt = routes->confirmedAt;
        applyEvacuations(*routes, now);
    } else if (std::holds_alternative<WakeEvent>(event)) {
        m_load.recordWake(now);
    } else if (std::holds_alternative<DrainEvent>(event)) {
        m_isDraining = true;
        m_request.stop();
        beginHandover(now);
    }
}

void OwnerPart::handleStoreReply(const StoreEvent& event, absl::Time now)
{
    if (m_request.ownsCall(event.call)) {
        m_request.handleReply(event.reply, now);
        return;
    }
    if (m_ownership.ownsCall(event.call)) {
        applyOwnershipUpdate(m_ownership.handleReply(event.call, event.reply, now), now);
        return;
    }
    if (!m_ownership.isOwner())
        return;
    if (m_jobFollower.ownsCall(event.call))
        applyJobs(m_jobFollower.handleReply(event.reply, now), now);
    else if (m_workerFollower.ownsCall(event.call))
        applyWorkers(m_workerFollower.handleReply(event.reply, now), now);
    else if (m_writer.ownsCall(event.call))
        applyWriteUpdate(m_writer.handleReply(event.reply, now), now);
    else if (event.call == m_loading.progressCall)
        applyProgress(event.reply, now);
    else if (event.call == m_loading.countsCall)
        applyCounts(event.reply, now);
    else if (event.call == m_loading.admissionCall)
        applyAdmission(event.reply, now);
    else if (event.call == m_deferredCall)
        applyDeferred(event.reply, now);
}

bool OwnerPart::isWorkerListCurrent(absl::Time now) const
{
    return now - m_workerFollower.confirmedAt() <= maxWorkerListAge;
}

bool OwnerPart::areEvacuationsCurrent(absl::Time now) const
{
    // Without a bound on their age, the evacuations count as current even before they were read.
    return m_settings.maxEvacuationAge == absl::InfiniteDuration()
        || now - m_directoryConfirmedAt <= m_settings.maxEvacuationAge;
}

void OwnerPart::reviewStarts(absl::Time now)
{
    if (isHandingOver()) {
        // A claim that was pending when the drain began may have succeeded since.
        m_workers.setMayStart(false);
        return;
    }
    const bool isListCurrent = isWorkerListCurrent(now);
    const bool areRequestsCurrent = areEvacuationsCurrent(now);
    if (isListCurrent != std::exchange(m_wasWorkerListCurrent, isListCurrent))
        logWorkerList(isListCurrent, now);
    if (areRequestsCurrent != std::exchange(m_wereEvacuationsCurrent, areRequestsCurrent))
        logEvacuationAge(areRequestsCurrent, now);
    const bool mayStart = isListCurrent && areRequestsCurrent;
    if (mayStart != m_workers.mayStart())
        m_workers.setMayStart(mayStart);
}

// Placements in an evacuated data centre that were not sent are made anew elsewhere; the rest of their gang is stopped.
void OwnerPart::applyEvacuations(const RoutesEvent& event, absl::Time now)
{
    if (event.evacuations == nullptr || event.evacuations == m_workers.evacuations())
        return;
    for (const WorkerUpdate& unsent : m_workers.setEvacuations(event.evacuations)) {
        for (const EndedRun& ended : unsent.session.ended)
            handleRunEnd(ended, unsent, now);
    }
    m_isAllocationDue = true;
}

absl::Time OwnerPart::nextAllocation(absl::Time now) const
{
    // The next reply about the workers, or the evacuations, is an event of its own.
    if (!isWorkerListCurrent(now) || !areEvacuationsCurrent(now) || isHandingOver())
        return absl::InfiniteFuture();
    absl::Time due = absl::InfiniteFuture();
    if (m_isAllocationDue)
        due = m_allocationPacer.mayBeginAt();
    if (m_hasPendingSteps)
        due = std::min(due, std::max(m_allocationPacer.mayBeginAt(), m_allocatedAt + reallocationPeriod));
    // An allocation round with only the few workers that have replied so far would evict runs needlessly.
    return m_workers.hasEveryWorkerAnswered() ? due : std::max(due, m_loading.doneAt + workerReplyTimeout);
}

void OwnerPart::allocate(absl::Time now)
{
    m_isAllocationDue = false;
    m_allocatedAt = now;
    const absl::Time begun = m_clock.now();
    AllocationInput input = describeAllocation(m_workers, m_jobs, m_routes.get(), m_settings.guaranteeBound, now);
    logGuarantees(input, now);
    m_hasPendingSteps = !input.pendingSteps.empty();
    Allocation allocation;
    if (m_hasPendingSteps)
        allocation = m_policy->allocate(input.workers, input.pendingSteps, now);
    limitAllocation(allocation, input.pendingSteps, m_workers.startAllowance());
    const absl::Time ended = m_clock.now();
    m_allocationPacer.recordWork(begun, ended);
    if (!m_hasPendingSteps)
        return;
    logAllocation(allocation, input, ended - begun, now);
    logHeldJobs(allocation.held, now);
    place(allocation.placements, now);
    evict(allocation.evictions, now);
}

void OwnerPart::evict(absl::Span<const Eviction> evictions, absl::Time now)
{
    for (const Eviction& eviction : evictions) {
        m_jobs.find(eviction.beneficiary)->wait.recordEviction(now);
        logRun(DecisionEffect::Kind::RunEvicted, eviction.run, eviction.worker, "", eviction.beneficiary.text());
        stopRun(eviction.run, eviction.worker, StopReason::Evicted, now);
    }
}

void OwnerPart::place(absl::Span<const Placement> placements, absl::Time now)
{
    // All attempts are numbered before any task is placed, so that the members of a gang get the same number.
    std::vector<std::int32_t> attempts;
    attempts.reserve(placements.size());
    for (const Placement& placement : placements)
        attempts.push_back(m_jobs.find(placement.task.job)->progress.nextAttempt(placement.task.task));
    for (std::size_t i = 0; i < placements.size(); ++i)
        placeRun({ placements[i].task, attempts[i] }, placements[i].worker, now);
}

void OwnerPart::placeRun(const RunKey& run, const WorkerName& worker, absl::Time now)
{
    const TaskRef& task = run.task.task;
    JobEntry& entry = *m_jobs.find(run.task.job);
    WorkerSession& session = *m_workers.find(worker);
    session.reserve(run, countedDemand(entry.progress.stepSpec(task.step)), now);
    entry.progress.place(task, run.attempt, worker, session.describeProcess(session.processStartMs()));
    entry.pending.placed.push_back({ run, worker });
    entry.readySince.erase({ task.occurrence, task.step });
    entry.wait.recordPlacement(now);
    m_jobs.markDirty(entry);
    logRun(DecisionEffect::Kind::RunPlaced, run, worker, "");
}

void OwnerPart::advance(absl::Time now)
{
    // Jobs are read after their progress, which shows the ones that an earlier owner has begun.
    if (m_loading.hasProgress)
        m_jobFollower.advance(m_outbox, now);
    m_workerFollower.advance(m_outbox, now);
    advanceLoading(now);
    if (!m_loading.isDone)
        return;
    reviewMemory(now);
    loadDeferred(now);
    for (const WorkerUpdate& lapsed : m_workers.takeLapsedRuns(now))
        applyWorkerUpdate(lapsed, now);
    if (m_jobs.openDueOccurrences(now))
        m_isAllocationDue = true;
    reviewStarts(now);
    if (nextAllocation(now) <= now)
        allocate(now);
    m_writer.advance(m_ownership.expectation(), m_outbox, now);
    m_workers.setOwnedUntil(m_ownership.leaseEnd());
    m_workers.setStartsUntil(m_directoryConfirmedAt + m_settings.maxEvacuationAge);
    m_workers.advance(*this, m_outbox, now);
    reviewHeldRuns(now);
    reviewLoad(now);
}

absl::Time OwnerPart::nextDue(absl::Time now) const
{
    absl::Time due = m_ownership.nextDue();
    due = std::min(due, m_request.nextDue());
    if (!m_ownership.isOwner())
        return std::max(due, now);
    due = std::min(due, m_workerFollower.nextDue());
    if (m_loading.hasProgress)
        due = std::min(due, m_jobFollower.nextDue());
    if (!m_loading.isDone)
        return std::max(std::min(due, std::max(m_loading.retryAt, now + loadRetryPeriod)), now);
    due = std::min({ due, m_writer.nextDue(), m_workers.nextDue(), m_jobs.nextDue(), nextHeldRunReview() });
    if (isHandingOver())
        due = std::min(due, m_handoverEndsAt);
    return std::max(std::min(due, nextAllocation(now)), now);
}

StartRun OwnerPart::describeStart(const RunKey& run) const
{
    StartRun start { run, "", "" };
    // Only runs of known jobs are started; for others the payload stays empty.
    const JobEntry* entry = m_jobs.find(run.task.job);
    if (entry == nullptr)
        return start;
    start.payload = entry->progress.job().spec.payload;
    if (const TaskProgress* task = entry->progress.find(run.task.task))
        start.checkpoint = task->checkpoint;
    return start;
}

} // namespace mangohall::batch
