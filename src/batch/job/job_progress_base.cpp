#include "batch/job/job_progress_base.h"

#include <algorithm>
#include <utility>

#include "batch/job/job_check_func.h"

namespace mangohall::batch {

namespace {

// Of a done task the record may keep nothing else.
bool hasStarted(const TaskProgress& task)
{
    return task.lastStartedAttempt != 0 || task.phase == TaskProgress::Phase::Done;
}

bool hasStartedTask(const OccurrenceProgress& occurrence)
{
    return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
        [](const StepProgress& step) { return std::any_of(step.tasks.begin(), step.tasks.end(), hasStarted); });
}

// The estimated run time of the longest chain of dependent steps.
absl::Duration longestChainOf(const JobSpec& spec)
{
    // The estimated end of each step, counted from the start of the job.
    std::vector<absl::Duration> ends;
    ends.reserve(spec.steps.size());
    absl::Duration longest;
    for (const StepSpec& step : spec.steps) {
        absl::Duration begin;
        for (const std::int32_t earlier : step.after)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

JobProgress::JobProgress(Job job, const RecordLimits& limits)
    : m_job(std::move(job))
    , m_limits(limits)
    , m_longestChainEstimate(longestChainOf(m_job.spec))
{
}

bool JobProgress::restore(ProgressRecord record)
{
    if (!matchesSpec(m_job.spec, record))
        return false;
    m_record = std::move(record);
    m_entryCount = 0;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        for (const StepProgress& step : occurrence.steps)
            m_entryCount += static_cast<std::int64_t>(step.tasks.entries().size());
    }
    m_hasBegun = std::any_of(m_record.occurrences.begin(), m_record.occurrences.end(), hasStartedTask);
    m_checkpointBytes = 0;
    for (const TaskRef& task : tasksWith([](const TaskProgress& found) { return !found.checkpoint.empty(); }))
        m_checkpointBytes += static_cast<std::int64_t>(find(task)->checkpoint.size());
    return true;
}

std::int64_t JobProgress::recordBytes() const
{
    std::int64_t bytes = m_entryCount * RecordLimits::openTaskBytes + m_checkpointBytes;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        bytes += RecordLimits::occurrenceBytes;
        for (const StepProgress& step : occurrence.steps)
            bytes += RecordLimits::stepBytes
                + RecordLimits::closedTaskBytes * static_cast<std::int64_t>(step.tasks.size());
    }
    return bytes;
}

void JobProgress::releaseDetails()
{
    m_job.spec = JobSpec();
    m_record.occurrences = {};
    m_entryCount = 0;
    m_checkpointBytes = 0;
}

bool JobProgress::isFinal() const
{
    return batch::isFinal(m_record.phase);
}

const OccurrenceProgress* JobProgress::findOccurrence(std::int32_t number) const
{
    // Occurrences are opened in order, so the number is the position.
    const auto position = static_cast<std::size_t>(number);
    return number >= 0 && position < m_record.occurrences.size() ? &m_record.occurrences[position] : nullptr;
}

OccurrenceProgress* JobProgress::findOccurrence(std::int32_t number)
{
    return const_cast<OccurrenceProgress*>(std::as_const(*this).findOccurrence(number));
}

StepProgress* JobProgress::findStep(const TaskRef& task)
{
    OccurrenceProgress* occurrence = findOccurrence(task.occurrence);
    const auto step = static_cast<std::size_t>(task.step);
    if (occurrence == nullptr || task.step < 0 || step >= occurrence->steps.size())
        return nullptr;
    return &occurrence->steps[step];
}

const StepProgress* JobProgress::findStep(const TaskRef& task) const
{
    return const_cast<JobProgress*>(this)->findStep(task);
}

const TaskProgress* JobProgress::find(const TaskRef& task) const
{
    const StepProgress* step = findStep(task);
    const auto index = static_cast<std::size_t>(task.index);
    if (step == nullptr || task.index < 0 || index >= step->tasks.size())
        return nullptr;
    return &step->tasks[index];
}

TaskProgress* JobProgress::editTask(const TaskRef& task)
{
    if (find(task) == nullptr)
        return nullptr;
    TaskList& tasks = findStep(task)->tasks;
    const std::size_t former = tasks.entries().size();
    TaskProgress& edited = tasks.edit(static_cast<std::size_t>(task.index));
    m_entryCount += static_cast<std::int64_t>(tasks.entries().size() - former);
    return &edited;
}

std::int32_t JobProgress::nextAttempt(const TaskRef& task) const
{
    const TaskProgress* found = find(task);
    if (found == nullptr)
        return 1;
    std::int32_t last = found->attempt;
    if (stepSpec(task.step).isGang) {
        for (const auto& [index, member] : findStep(task)->tasks.entries())
            last = std::max(last, member.attempt);
    }
    return last + 1;
}

std::vector<TaskRef> JobProgress::placedTasks() const
{
    return tasksWith([](const TaskProgress& task) { return task.phase == TaskProgress::Phase::Placed; });
}

template <typename Condition> std::vector<TaskRef> JobProgress::tasksWith(Condition condition) const
{
    std::vector<TaskRef> tasks;
    if (m_entryCount == 0)
        return tasks;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const auto& [index, task] : occurrence.steps[step].tasks.entries()) {
                if (condition(task))
                    tasks.push_back({ occurrence.number, static_cast<std::int32_t>(step), index });
            }
        }
    }
    return tasks;
}

void JobProgress::place(
    const TaskRef& task, std::int32_t attempt, const WorkerName& worker, const WorkerProcess& process)
{
    TaskProgress* found = editTask(task);
    if (found == nullptr)
        return;
    found->phase = TaskProgress::Phase::Placed;
    found->attempt = attempt;
    found->worker = worker;
    found->workerProcessStartMs = process.startMs;
    found->earlierCommandsUntilMs = process.earlierCommandsUntilMs;
    found->lapsesByMs = 0;
    if (m_record.phase == JobPhase::Pending)
        m_record.phase = JobPhase::Active;
}

bool JobProgress::recordStarted(
    const TaskRef& task, std::int32_t attempt, bool mayStartAgain, const WorkerProcess& process)
{
    const TaskProgress* known = find(task);
    if (known == nullptr)
        return false;
    m_hasBegun = true;
    const bool isSettled = known->phase == TaskProgress::Phase::Done && known->attempt == 0;
    // Of a task that an earlier owner has recorded as done the record keeps no attempt.
    if (isSettled && !mayStartAgain)
        return false;
    TaskProgress* found = editTask(task);
    const bool isDone = found->phase == TaskProgress::Phase::Done;
    const bool isPlaced = found->phase == TaskProgress::Phase::Placed && found->attempt == attempt;
    const bool isProcessKnown = !isPlaced || process.startMs != 0;
    const bool isNew = !mayStartAgain && attempt > found->lastStartedAttempt && isProcessKnown;
    const bool isSettledAnew = isDone && found->mayStartAgain != mayStartAgain;
    if (isNew)
        found->lastStartedAttempt = attempt;
    if (isNew && isPlaced && found->workerProcessStartMs != process.startMs) {
        found->workerProcessStartMs = process.startMs;
        found->earlierCommandsUntilMs = process.earlierCommandsUntilMs;
    }
    if (isSettledAnew)
        found->mayStartAgain = mayStartAgain;
    return isNew || isSettledAnew;
}

bool JobProgress::recordLapse(
    const TaskRef& task, std::int32_t attempt, const WorkerName& worker, std::int64_t lapsesByMs)
{
    if (!isCurrentRun(task, attempt, worker))
        return false;
    editTask(task)->lapsesByMs = lapsesByMs;
    return true;
}

bool JobProgress::haveFirstTasksBegun() const
{
    if (m_record.occurrences.empty())
        return false;
    const OccurrenceProgress& first = m_record.occurrences.front();
    for (std::size_t step = 0; step < first.steps.size(); ++step) {
        const TaskList& tasks = first.steps[step].tasks;
        const bool isFirst = m_job.spec.steps[step].after.empty();
        if (isFirst && !std::all_of(tasks.begin(), tasks.end(), hasStarted))
            return false;
    }
    return true;
}

std::vector<TaskRef> JobProgress::startableDoneTasks() const
{
    return tasksWith([](const TaskProgress& task) { return task.mayStartAgain; });
}

bool JobProgress::isLastAttemptStarted(const TaskRef& task) const
{
    const TaskProgress* found = find(task);
    return found != nullptr && found->lastStartedAttempt == found->attempt;
}

bool JobProgress::isCurrentRun(const TaskRef& task, std::int32_t attempt, const WorkerName& worker) const
{
    const TaskProgress* found = find(task);
    return !isFinal() && found != nullptr && found->phase == TaskProgress::Phase::Placed && found->attempt == attempt
        && found->worker == worker;
}

} // namespace mangohall::batch
