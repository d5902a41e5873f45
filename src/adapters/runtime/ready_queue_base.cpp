#include "adapters/runtime/ready_queue_base.h"

namespace mangohall {

void ReadyQueue::push(PartIndex part)
{
    absl::MutexLock lock(&m_mutex);
    m_parts.push_back(part);
    m_changed.Signal();
}

absl::optional<PartIndex> ReadyQueue::take()
{
    absl::MutexLock lock(&m_mutex);
    while (m_parts.empty() && !m_isClosed)
        m_changed.Wait(&m_mutex);
    if (m_isClosed)
        return absl::nullopt;
    const PartIndex part = m_parts.front();
    m_parts.pop_front();
    return part;
}

void ReadyQueue::close()
{
    absl::MutexLock lock(&m_mutex);
    m_isClosed = true;
    m_changed.SignalAll();
}

} // namespace mangohall
