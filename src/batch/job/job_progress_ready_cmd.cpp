// Which tasks of a job may start: those of due occurrences, in the order of their steps, within the limits of the
// record.
#include "batch/job/job_progress_base.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangohall::batch {

namespace {

// Added to due times. The wall clocks of different machines differ by less than this.
constexpr absl::Duration clockSkewMargin = absl::Milliseconds(60);

bool isAnyPlaced(const StepProgress& step)
{
    const TaskList::Entries& entries = step.tasks.entries();
    return std::any_of(entries.begin(), entries.end(),
        [](const auto& entry) { return entry.second.phase == TaskProgress::Phase::Placed; });
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
    occurrence.steps.reserve(m_job.spec.steps.size());
    for (const StepSpec& spec : m_job.spec.steps)
        occurrence.steps.push_back(StepProgress { TaskList(static_cast<std::size_t>(spec.taskCount)) });
    m_record.occurrences.push_back(std::move(occurrence));
}

std::vector<ReadyStep> JobProgress::readySteps() const
{
    ReadyCursor first;
    return readySteps(first, std::numeric_limits<std::size_t>::max());
}

std::vector<ReadyStep> JobProgress::readySteps(ReadyCursor& cursor, std::size_t most) const
{
    std::vector<ReadyStep> ready;
    const std::size_t stepCount = m_job.spec.steps.size();
    const std::size_t positions = m_record.occurrences.size() * stepCount;
    if (isFinal() || positions == 0)
        return ready;
    std::int64_t roomForTasks = std::max<std::int64_t>(0, m_limits.maxOpenTasks() - countOpenTasks());
    const std::size_t begin = cursor.occurrence * stepCount + cursor.step;
    for (std::size_t offset = 0; offset < positions; ++offset) {
        const std::size_t position = (begin + offset) % positions;
        const OccurrenceProgress& occurrence = m_record.occurrences[position / stepCount];
        const std::size_t step = position % stepCount;
        if (ready.size() == most) {
            cursor = { position / stepCount, step };
            return ready;
        }
        if (!mayStart(occurrence, step))
            continue;
        std::vector<std::int32_t> indices = waitingTasks(occurrence, step, roomForTasks);
        if (!indices.empty())
            ready.push_back({ occurrence.number, static_cast<std::int32_t>(step), std::move(indices) });
    }
    cursor = ReadyCursor();
    return ready;
}

bool JobProgress::mayStart(const OccurrenceProgress& occurrence, std::size_t step) const
{
    const StepSpec& spec = m_job.spec.steps[step];
    // A gang restarts only once no member of its last attempt can still be running.
    if (spec.isGang && isAnyPlaced(occurrence.steps[step]))
        return false;
    return std::all_of(spec.after.begin(), spec.after.end(), [&occurrence](std::int32_t earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].tasks.isDone();
    });
}

std::vector<std::int32_t> JobProgress::waitingTasks(
    const OccurrenceProgress& occurrence, std::size_t step, std::int64_t& roomForTasks) const
{
    std::vector<std::int32_t> indices;
    const TaskList& tasks = occurrence.steps[step].tasks;
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
    if (m_entryCount == 0)
        return count;
    for (const OccurrenceProgress& occurrence : m_record.occurrences) {
        for (const StepProgress& step : occurrence.steps) {
            const TaskList::Entries& entries = step.tasks.entries();
            count += std::count_if(
                entries.begin(), entries.end(), [](const auto& entry) { return isOpen(entry.second); });
        }
    }
    return count;
}

} // namespace mangohall::batch
