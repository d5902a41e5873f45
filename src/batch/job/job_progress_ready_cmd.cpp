// Which tasks of a job may start: those of due occurrences, in the order of their steps, within the limits of the
// record.
#include "batch/job/job_progress_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// Added to due times. The wall clocks of different machines differ by less than this.
constexpr absl::Duration clockSkewMargin = absl::Milliseconds(60);

bool isAnyPlaced(const StepProgress& step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(),
        [](const TaskProgress& task) { return task.phase == TaskProgress::Phase::Placed; });
}

} // namespace

std::int32_t JobProgress::occurrenceCount() const
{
    return std::max(1, m_job.spec.repeatCount);
}

absl::Time JobProgress::dueTimeOf(std::int32_t occurrence) const
{
    if (m_job.spec.firstDue == absl::InfinitePast())
        return absl::InfinitePast();
    return m_job.spec.firstDue + m_job.spec.period * occurrence + clockSkewMargin;
}

absl::Time JobProgress::nextDue() const
{
    const auto opened = static_cast<std::int32_t>(m_record.occurrences.size());
    if (isFinal() || opened >= occurrenceCount())
        return absl::InfiniteFuture();
    return dueTimeOf(opened);
}

bool JobProgress::openDueOccurrences(absl::Time now)
{
    bool isOpened = false;
    while (nextDue() <= now) {
        openOccurrence(static_cast<std::int32_t>(m_record.occurrences.size()));
        isOpened = true;
    }
    return isOpened;
}

void JobProgress::openOccurrence(std::int32_t number)
{
    OccurrenceProgress occurrence;
    occurrence.number = number;
    for (const StepSpec& spec : m_job.spec.steps) {
        StepProgress step;
        step.tasks.resize(static_cast<std::size_t>(spec.taskCount));
        occurrence.steps.push_back(std::move(step));
    }
    m_record.occurrences.push_back(std::move(occurrence));
}

std::vector<ReadyStep> JobProgress::readySteps() const
{
    std::vector<ReadyStep> ready;
    if (isFinal())
        return ready;
    std::int64_t roomForTasks = std::max<std::int64_t>(0, m_limits.maxOpenTasks() - countOpenTasks());
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!mayStart(occurrence, step))
                continue;
            std::vector<std::int32_t> indices = waitingTasks(occurrence, step, roomForTasks);
            if (!indices.empty())
                ready.push_back({ occurrence.number, static_cast<std::int32_t>(step), std::move(indices) });
        }
    }
    return ready;
}

bool JobProgress::mayStart(const OccurrenceProgress& occurrence, std::size_t step) const
{
    const StepSpec& spec = m_job.spec.steps[step];
    // A gang restarts only once no member of its last attempt can still be running.
    if (spec.isGang && isAnyPlaced(occurrence.steps[step]))
        return false;
    return std::all_of(spec.after.begin(), spec.after.end(), [&occurrence](std::int32_t earlier) {
        return isStepDone(occurrence.steps[static_cast<std::size_t>(earlier)]);
    });
}

std::vector<std::int32_t> JobProgress::waitingTasks(
    const OccurrenceProgress& occurrence, std::size_t step, std::int64_t& roomForTasks) const
{
    std::vector<std::int32_t> indices;
    const std::vector<TaskProgress>& tasks = occurrence.steps[step].tasks;
    std::int64_t room = roomForTasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskProgress::Phase::Waiting)
            continue;
        const bool isNew = !isOpen(tasks[index]);
        if (isNew && room == 0 && m_job.spec.steps[step].isGang) {
            roomForTasks = 0;
            return {};
        }
        if (isNew && room == 0)
            continue;
        room -= isNew ? 1 : 0;
        indices.push_back(static_cast<std::int32_t>(index));
    }
    roomForTasks = room;
    return indices;
}

std::int64_t JobProgress::countOpenTasks() const
{
    std::int64_t count = 0;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        for (const StepProgress& step : occurrence.steps)
            count += std::count_if(step.tasks.begin(), step.tasks.end(), isOpen);
    }
    return count;
}

} // namespace mangohall::batch
