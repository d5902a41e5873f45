#include "batch/job/task_list_base.h"

namespace mangohall::batch {

namespace {

TaskProgress makeDoneTask()
{
    TaskProgress task;
    task.phase = TaskProgress::Phase::Done;
    return task;
}

const TaskProgress& neverPlacedTask()
{
    static const TaskProgress task;
    return task;
}

const TaskProgress& doneTask()
{
    static const TaskProgress task = makeDoneTask();
    return task;
}

} // namespace

TaskList::TaskList(const TaskList& other)
    : m_count(other.m_count)
    , m_details(other.m_details == nullptr ? nullptr : std::make_unique<Details>(*other.m_details))
{
}

TaskList& TaskList::operator=(const TaskList& other)
{
    if (this != &other)
        *this = TaskList(other);
    return *this;
}

TaskList::Details& TaskList::details()
{
    if (m_details == nullptr)
        m_details = std::make_unique<Details>();
    return *m_details;
}

const TaskProgress& TaskList::operator[](std::size_t index) const
{
    if (m_details == nullptr)
        return neverPlacedTask();
    const auto found = m_details->entries.find(static_cast<std::int32_t>(index));
    if (found != m_details->entries.end())
        return found->second;
    return index < m_details->isDone.size() && m_details->isDone[index] ? doneTask() : neverPlacedTask();
}

TaskProgress& TaskList::edit(std::size_t index)
{
    const TaskProgress& present = (*this)[index];
    return details().entries.try_emplace(static_cast<std::int32_t>(index), present).first->second;
}

void TaskList::push_back(const TaskProgress& task)
{
    const std::size_t index = size();
    ++m_count;
    if (task == neverPlacedTask())
        return;
    if (task != doneTask()) {
        details().entries.emplace(static_cast<std::int32_t>(index), task);
        return;
    }
    details().isDone.resize(index + 1);
    details().isDone[index] = true;
}

const TaskList::Entries& TaskList::entries() const
{
    static const Entries none;
    return m_details == nullptr ? none : m_details->entries;
}

bool TaskList::isDone() const
{
    if (m_details == nullptr)
        return m_count == 0;
    for (std::size_t index = 0; index < size(); ++index) {
        if ((*this)[index].phase != TaskProgress::Phase::Done)
            return false;
    }
    return true;
}

} // namespace mangohall::batch
