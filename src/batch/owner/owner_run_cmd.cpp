// What becomes of runs: what workers say of them, how they end, and when they are stopped.
#include "batch/owner/owner_part_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/owner/run_name_func.h"
#include "batch/owner/run_review_func.h"
#include "batch/policy/room_index_base.h"

namespace mangohall::batch {

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
    logJobEnd(*entry, now);
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

} // namespace mangohall::batch
