#include "adapters/wire/shared_peer_counters_base.h"

namespace mangohall {

void SharedPeerCounters::add(std::uint64_t PeerPortCounters::*counter, std::uint64_t amount)
{
    const absl::MutexLock lock(&m_mutex);
    m_counters.*counter += amount;
}

PeerPortCounters SharedPeerCounters::counters() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_counters;
}

} // namespace mangohall
