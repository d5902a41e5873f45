// The course of runs: the workers' reports on them, their ends, and their stops.
#include "batch/owner/owner_part_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/owner/run_name_func.h"
#include "batch/owner/run_review_func.h"
#include "batch/policy/capacity_index_base.h"

namespace mangohall::batch {

namespace {

StopReason stopReasonOf(JobPhase phase)
{
    if (phase == JobPhase::Aborted)
        return StopReason::JobCancelled;
    return phase == JobPhase::Failed ? StopReason::JobFailed : StopReason::JobCompleted;
}

// Whether only a run that has started ends so.
bool showsStart(RunEnd end)
{
    return end == RunEnd::Done || end == RunEnd::Failed || end == RunEnd::GangBroken || end == RunEnd::GangIncomplete;
}

// Whether the run ends by itself because its gang is done: all members end together. A run that the worker lists later
// all the same is stopped then.
bool endsWithItsGang(const JobEntry& entry, const RunKey& run, const RunSlot& slot)
{
    const TaskProgress* task = entry.progress.find(run.task.task);
    return task != nullptr && task->phase == TaskProgress::Phase::Done && task->attempt == run.attempt
        && slot.stage == RunSlot::Stage::Running && entry.progress.stepSpec(run.task.task.step).isGang;
}

} // namespace

void OwnerPart::stopRunsOf(JobEntry& entry, absl::Time now)
{
    const JobId& job = entry.progress.job().id;
    std::vector<PlacedRun> runs;
    for (const auto& [name, session] : m_workers.sessions()) {
        for (const auto& [run, slot] : session.runs()) {
            if (run.task.job == job && !endsWithItsGang(entry, run, slot))
                runs.push_back({ run, name });
        }
    }
    for (const PlacedRun& placed : runs)
        stopRun(placed.run, placed.worker, stopReasonOf(entry.progress.phase()), now);
}

// Stops the other members of a gang's attempt that has lost a member; they would wait for it for ever.
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
        stopRun({ { run.task.job, member }, run.attempt }, worker, StopReason::GangBroken, now);
    }
}

void OwnerPart::stopRun(const RunKey& run, const WorkerName& worker, StopReason reason, absl::Time now)
{
    WorkerSession* session = m_workers.find(worker);
    if (session == nullptr || session->isStopWanted(run))
        return;
    logRun(DecisionEffect::Kind::RunStopped, run, worker, "", stopReasonName(reason));
    if (const absl::optional<EndedRun> ended = session->stop(run, now))
        handleRunEnd(*ended, { worker, session->processStartMs(), {} }, now);
}

void OwnerPart::applyWorkerUpdate(const WorkerUpdate& update, absl::Time now)
{
    if (update.session.isFenced) {
        applyOwnershipUpdate(
            m_ownership.lose(absl::StrCat(update.worker.text(), " has seen a larger epoch"), now), now);
        return;
    }
    m_load.recordCallDelay(update.session.senderDelay);
    logStart(update, now);
    if (update.session.unansweredRenewal)
        logUnansweredRenewal(update);
    if (update.session.isLost || update.session.isFound)
        logWorker(update);
    if (update.session.isFound)
        m_isAllocationDue = true;
    if (update.session.confirmedStart)
        recordStarted(*update.session.confirmedStart, update.worker, now);
    for (const EndedRun& ended : update.session.ended)
        handleRunEnd(ended, update, now);
    for (const RunningRow& row : update.session.running)
        handleRunningRow(row, update.worker, now);
    if (!update.session.running.empty())
        reviewWorker(update.worker, now);
    if (update.session.isFound)
        withdrawLapses(update.worker);
    else
        recordLapses(update.worker, now);
}

void OwnerPart::recordLapses(const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_workers.find(worker);
    if (session == nullptr)
        return;
    for (const auto& [run, lapsesAt] : session->lapsesToRecord()) {
        JobEntry* entry = m_jobs.find(run.task.job);
        // Rounded up, so that the record promises nothing too early.
        const std::int64_t lapsesByMs = absl::ToUnixMillis(lapsesAt) + 1;
        if (entry == nullptr || !entry->progress.recordLapse(run.task.task, run.attempt, worker, lapsesByMs))
            continue;
        session->markLapseRecorded(run, lapsesAt);
        m_jobs.markDirty(*entry);
        logUnsettledRun(*entry, run, worker, lapsesAt, now);
    }
}

void OwnerPart::withdrawLapses(const WorkerName& worker)
{
    WorkerSession* session = m_workers.find(worker);
    if (session == nullptr)
        return;
    for (const RunKey& run : session->takeLapsesToWithdraw()) {
        JobEntry* entry = m_jobs.find(run.task.job);
        const bool isNeeded = entry != nullptr && entry->progress.recordLapse(run.task.task, run.attempt, worker, 0);
        // The progress that no longer needs the run may not be written yet.
        const bool isDurable = !isNeeded && (entry == nullptr || !(entry->isDirty || entry->isWriting));
        if (isDurable) {
            session->markLapseWithdrawn(run);
            continue;
        }
        entry->pending.withdrawnLapses.push_back({ run, worker });
        m_jobs.markDirty(*entry);
    }
}

void OwnerPart::reviewWorker(const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_workers.find(worker);
    const RunReview review = reviewRuns(*session, m_jobs, m_workers, now);
    for (const RunKey& run : review.stalled) {
        const StepSpec& spec = m_jobs.find(run.task.job)->progress.stepSpec(run.task.task.step);
        if (session->health().recordStall(run.task.job, spec.isGang, now))
            logQuarantine(worker, session->health().quarantinedUntil() - now);
    }
    for (const RelocatedRun& relocated : review.toRelocate)
        stopRun(relocated.run, worker, relocated.reason, now);
}

void OwnerPart::recordHealth(const EndedRun& ended, const WorkerName& worker, absl::Time now)
{
    WorkerSession* session = m_workers.find(worker);
    if (session == nullptr)
        return;
    if (ended.end == RunEnd::Done)
        session->health().recordCompletion();
    else if (ended.end == RunEnd::Failed && session->health().recordFailure(ended.run.task.job, now))
        logQuarantine(worker, session->health().quarantinedUntil() - now);
}

void OwnerPart::handleRunEnd(const EndedRun& ended, const WorkerUpdate& update, absl::Time now)
{
    m_isAllocationDue = true;
    JobEntry* entry = m_jobs.find(ended.run.task.job);
    const TaskRef& task = ended.run.task.task;
    const bool isKnownTask = entry != nullptr && entry->progress.find(task) != nullptr;
    // A long-running task is started again after every end, so it waits until no earlier start can be executed.
    if (isKnownTask && entry->progress.stepSpec(task.step).isLongRunning && mayStillStart(ended.run, update.worker))
        return;
    recordHealth(ended, update.worker, now);
    logRun(DecisionEffect::Kind::RunEnded, ended.run, update.worker, runEndName(ended.end),
        endEvidenceName(ended.evidence), ended.leaseAge);
    const bool wasFinal = entry != nullptr && entry->progress.isFinal();
    const bool isChanged
        = entry != nullptr && entry->progress.recordEnd(task, ended.run.attempt, ended.end, ended.checkpoint, now);
    if (showsStart(ended.end))
        recordStarted(ended.run, update.worker, now);
    else if (entry != nullptr)
        entry->wait.recordFailedStart();
    // The progress that makes the end irrelevant may not be written yet, for instance because another member has ended
    // the gang.
    const bool isDurable = !isChanged && (entry == nullptr || !(entry->isDirty || entry->isWriting));
    if (isDurable) {
        WorkerSession* session = m_workers.find(update.worker);
        if (session != nullptr && ended.number != 0)
            session->markEndDurable(ended.number);
        return;
    }
    m_jobs.markDirty(*entry);
    if (ended.end == RunEnd::NotStarted)
        withholdRoom(*entry, ended.run, update.worker);
    if (ended.number != 0)
        entry->pending.ends.push_back({ update.worker, update.processStartMs, ended.number });
    if (!isChanged)
        return;
    if (entry->progress.stepSpec(task.step).isGang && ended.end != RunEnd::Done)
        stopGangOf(*entry, ended.run, now);
    if (wasFinal || !entry->progress.isFinal())
        return;
    logJobEnd(*entry, now);
    stopRunsOf(*entry, now);
}

// A worker may start what has not run there, so the next owner may, too, as long as the store shows it as placed.
void OwnerPart::withholdRoom(JobEntry& entry, const RunKey& run, const WorkerName& worker)
{
    WorkerSession* session = m_workers.find(worker);
    if (session == nullptr || entry.progress.find(run.task.task) == nullptr)
        return;
    session->withholdRoom(run, countedDemand(entry.progress.stepSpec(run.task.task.step)));
    entry.pending.withdrawn.push_back({ run, worker });
}

void OwnerPart::releaseRooms(absl::Span<const PlacedRun> withdrawn)
{
    for (const PlacedRun& run : withdrawn) {
        if (WorkerSession* session = m_workers.find(run.worker))
            session->releaseRoom(run.run);
    }
    m_isAllocationDue = m_isAllocationDue || !withdrawn.empty();
}

bool OwnerPart::mayStillStart(const RunKey& run, const WorkerName& worker) const
{
    const auto session = m_workers.sessions().find(worker);
    return session != m_workers.sessions().end() && session->second.mayStillStart(run);
}

// The next owner need not wait for the starts of a run that has shown, unless one may still be executed.
void OwnerPart::recordStarted(const RunKey& run, const WorkerName& worker, absl::Time now)
{
    JobEntry* entry = m_jobs.find(run.task.job);
    if (entry == nullptr)
        return;
    const auto session = m_workers.sessions().find(worker);
    WorkerProcess shownBy;
    if (session != m_workers.sessions().end())
        shownBy = session->second.describeProcess(session->second.processOf(run));
    if (entry->progress.recordStarted(run.task.task, run.attempt, mayStillStart(run, worker), shownBy))
        m_jobs.markDirtyLater(*entry);
    entry->wait.recordRunning();
    logGuaranteeMet(*entry, now);
}

void OwnerPart::handleRunningRow(const RunningRow& row, const WorkerName& worker, absl::Time now)
{
    JobEntry* entry = m_jobs.find(row.run.task.job);
    const TaskRef& task = row.run.task.task;
    if (entry != nullptr && entry->progress.isCurrentRun(task, row.run.attempt, worker)) {
        recordStarted(row.run, worker, now);
        entry->progress.recordCheckpoint(task, row.run.attempt, row.checkpoint);
        return;
    }
    WorkerSession* session = m_workers.find(worker);
    if (!session->runs().contains(row.run))
        return;
    if (entry != nullptr && entry->progress.find(task) != nullptr)
        session->setDemand(row.run, countedDemand(entry->progress.stepSpec(task.step)));
    stopRun(row.run, worker, StopReason::Superseded, now);
}

void OwnerPart::applyWriteUpdate(const WriteUpdate& update, absl::Time now)
{
    if (update.isSuperseded) {
        applyOwnershipUpdate(m_ownership.lose("another node has raised the epoch", now), now);
        return;
    }
    if (update.refusedJob)
        handleRefusedRecord(*update.refusedJob, now);
    for (const ListedEnd& end : update.ends) {
        WorkerSession* session = m_workers.find(end.worker);
        if (session != nullptr && session->processStartMs() == end.workerProcessStartMs)
            session->markEndDurable(end.number);
    }
    for (const PlacedRun& placed : update.placed)
        releaseRun(placed, now);
    for (const PlacedRun& withdrawn : update.withdrawnLapses) {
        if (WorkerSession* session = m_workers.find(withdrawn.worker))
            session->markLapseWithdrawn(withdrawn.run);
    }
    releaseRooms(update.withdrawn);
}

// Gives back the capacity of placements that cannot become durable.
void OwnerPart::handleRefusedRecord(const JobId& job, absl::Time now)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::RecordRefused;
    decision.job = job.str();
    decision.epoch = m_ownership.epoch();
    m_outbox.log(std::move(decision));
    JobEntry* entry = m_jobs.find(job);
    if (entry == nullptr)
        return;
    const std::vector<PlacedRun> refused = std::exchange(entry->pending.placed, {});
    for (const PlacedRun& placed : refused)
        stopRun(placed.run, placed.worker, StopReason::WorkerUnavailable, now);
    releaseRooms(refused);
}

// Sends the start of a run whose placement is durable, or drops the run if its job no longer wants it or its worker no
// longer accepts work.
void OwnerPart::releaseRun(const PlacedRun& placed, absl::Time now)
{
    WorkerSession* session = m_workers.find(placed.worker);
    const JobEntry* entry = m_jobs.find(placed.run.task.job);
    // The run is gone if the worker's process was replaced meanwhile.
    if (session == nullptr || entry == nullptr || !session->runs().contains(placed.run))
        return;
    if (!entry->progress.isCurrentRun(placed.run.task.task, placed.run.attempt, placed.worker))
        stopRun(placed.run, placed.worker, StopReason::Superseded, now);
    else if (isHandingOver())
        stopRun(placed.run, placed.worker, StopReason::OwnerStops, now);
    else if (!session->acceptsWork(now))
        stopRun(placed.run, placed.worker, StopReason::WorkerUnavailable, now);
    else
        session->release(placed.run, now);
}

} // namespace mangohall::batch
