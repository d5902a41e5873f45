#include "batch/owner/first_look_queue_base.h"

#include <utility>

namespace mangohall::batch {

namespace {

// Looks that are out at a time.
constexpr std::size_t maxLooks = 64;

} // namespace

bool FirstLookQueue::hasPlace() const
{
    return m_out.size() + m_turns.size() < maxLooks;
}

std::vector<WorkerName> FirstLookQueue::takeTurns()
{
    std::vector<WorkerName> workers;
    while (!m_order.empty() && hasPlace()) {
        WorkerName worker = std::move(m_order.front());
        m_order.pop_front();
        if (m_waiting.erase(worker) == 0)
            continue;
        m_turns.insert(worker);
        workers.push_back(std::move(worker));
    }
    return workers;
}

bool FirstLookQueue::admit(const WorkerName& worker)
{
    if (m_turns.erase(worker) != 0)
        return true;
    if (m_waiting.empty() && hasPlace())
        return true;
    if (m_waiting.insert(worker).second)
        m_order.push_back(worker);
    return false;
}

void FirstLookQueue::forget(const WorkerName& worker)
{
    m_out.erase(worker);
    m_turns.erase(worker);
    m_waiting.erase(worker);
}

} // namespace mangohall::batch
