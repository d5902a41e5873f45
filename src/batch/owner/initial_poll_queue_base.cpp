#include "batch/owner/initial_poll_queue_base.h"

#include <utility>

namespace mangohall::batch {

namespace {

// The largest number of initial polls that are pending or admitted at once.
constexpr std::size_t maxPolls = 64;

} // namespace

bool InitialPollQueue::hasFreeSlot() const
{
    return m_polling.size() + m_admitted.size() < maxPolls;
}

std::vector<WorkerName> InitialPollQueue::takeAdmitted()
{
    std::vector<WorkerName> workers;
    while (!m_waitingOrder.empty() && hasFreeSlot()) {
        WorkerName worker = std::move(m_waitingOrder.front());
        m_waitingOrder.pop_front();
        if (m_waiting.erase(worker) == 0)
            continue;
        m_admitted.insert(worker);
        workers.push_back(std::move(worker));
    }
    return workers;
}

bool InitialPollQueue::tryAdmit(const WorkerName& worker)
{
    if (m_admitted.erase(worker) != 0)
        return true;
    if (m_waiting.empty() && hasFreeSlot())
        return true;
    if (m_waiting.insert(worker).second)
        m_waitingOrder.push_back(worker);
    return false;
}

void InitialPollQueue::remove(const WorkerName& worker)
{
    m_polling.erase(worker);
    m_admitted.erase(worker);
    m_waiting.erase(worker);
}

} // namespace mangohall::batch
