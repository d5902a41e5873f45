// What the end of a run changes: the task waits again or is done, its checkpoint is kept, its failures are counted, and
// the job may end.
#include "batch/job/job_progress_base.h"

#include <algorithm>
#include <numeric>

namespace mangohall::batch {

bool JobProgress::recordEnd(
    const TaskRef& task, std::int32_t attempt, RunEnd end, absl::string_view checkpoint, absl::Time now)
{
    const TaskProgress* found = find(task);
    if (found == nullptr || found->phase == TaskProgress::Phase::Done)
        return false;
    const bool isLongRunning = stepSpec(task.step).isLongRunning;
    if (end == RunEnd::Done && !isLongRunning) {
        finishTask(task);
        completeIfDone(now);
        return true;
    }
    if (found->phase != TaskProgress::Phase::Placed || found->attempt != attempt)
        return false;
    releaseTask(task, end, checkpoint, now);
    return true;
}

void JobProgress::finishTask(const TaskRef& task)
{
    const auto finish = [this](TaskProgress& finished) {
        finished.phase = TaskProgress::Phase::Done;
        finished.lapsesByMs = 0;
        replaceCheckpoint(finished, "");
    };
    if (!stepSpec(task.step).isGang) {
        finish(*editTask(task));
        return;
    }
    // If one member is done, the whole gang is done.
    for (std::int32_t index = 0; index < stepSpec(task.step).taskCount; ++index)
        finish(*editTask({ task.occurrence, task.step, index }));
}

void JobProgress::releaseTask(const TaskRef& task, RunEnd end, absl::string_view checkpoint, absl::Time now)
{
    TaskProgress& released = *editTask(task);
    released.phase = TaskProgress::Phase::Waiting;
    released.worker = WorkerName();
    released.workerProcessStartMs = 0;
    released.earlierCommandsUntilMs = 0;
    released.lapsesByMs = 0;
    if (!checkpoint.empty())
        setCheckpoint(task, checkpoint);
    if (end == RunEnd::Failed && !stepSpec(task.step).isLongRunning)
        recordFailure(task, now);
}

// All members of a gang resume from the same checkpoint, so a checkpoint of one member is stored for all.
void JobProgress::setCheckpoint(const TaskRef& task, absl::string_view checkpoint)
{
    const bool isGang = stepSpec(task.step).isGang;
    const std::size_t copies = isGang ? findStep(task)->tasks.size() : 1;
    const auto replaced = static_cast<std::int64_t>(find(task)->checkpoint.size() * copies);
    const auto added = static_cast<std::int64_t>(checkpoint.size() * copies);
    if (added > replaced && m_checkpointBytes - replaced + added > m_limits.maxCheckpointBytes())
        return;
    if (!isGang) {
        replaceCheckpoint(*editTask(task), checkpoint);
        return;
    }
    for (std::int32_t index = 0; index < stepSpec(task.step).taskCount; ++index)
        replaceCheckpoint(*editTask({ task.occurrence, task.step, index }), checkpoint);
}

std::int32_t JobProgress::countGangFailure(const TaskRef& member)
{
    TaskProgress& failed = *editTask(member);
    // A member without an entry has not failed.
    const TaskList::Entries& members = findStep(member)->tasks.entries();
    const bool isCounted = std::any_of(members.begin(), members.end(),
        [&failed](const auto& other) { return other.second.lastFailedAttempt == failed.attempt; });
    failed.lastFailedAttempt = failed.attempt;
    if (!isCounted)
        ++failed.failures;
    return std::accumulate(members.begin(), members.end(), 0,
        [](std::int32_t sum, const auto& other) { return sum + other.second.failures; });
}

void JobProgress::recordFailure(const TaskRef& task, absl::Time now)
{
    const std::int32_t failures = stepSpec(task.step).isGang ? countGangFailure(task) : ++editTask(task)->failures;
    if (failures >= m_job.terms.maxAttempts && !isFinal())
        makeFinal(JobPhase::Failed, now);
}

void JobProgress::recordCheckpoint(const TaskRef& task, std::int32_t attempt, absl::string_view checkpoint)
{
    const TaskProgress* found = find(task);
    if (found == nullptr || found->phase != TaskProgress::Phase::Placed || found->attempt != attempt)
        return;
    if (!checkpoint.empty() && found->checkpoint != checkpoint)
        setCheckpoint(task, checkpoint);
}

bool JobProgress::cancel(absl::Time now)
{
    if (isFinal())
        return false;
    makeFinal(JobPhase::Aborted, now);
    return true;
}

void JobProgress::replaceCheckpoint(TaskProgress& task, absl::string_view checkpoint)
{
    m_checkpointBytes
        += static_cast<std::int64_t>(checkpoint.size()) - static_cast<std::int64_t>(task.checkpoint.size());
    task.checkpoint = std::string(checkpoint);
}

void JobProgress::completeIfDone(absl::Time now)
{
    if (isFinal() || static_cast<std::int32_t>(m_record.occurrences.size()) < occurrenceCount())
        return;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        if (!std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                [](const StepProgress& step) { return step.tasks.isDone(); }))
            return;
    }
    makeFinal(JobPhase::Completed, now);
}

void JobProgress::makeFinal(JobPhase phase, absl::Time now)
{
    m_record.phase = phase;
    m_record.endedAt = now;
}

} // namespace mangohall::batch
