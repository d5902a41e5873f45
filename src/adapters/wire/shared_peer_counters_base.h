#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/wire/peer_port_type.h"

namespace mangohall {

// Counters that all senders of a port share. Thread-safe.
class SharedPeerCounters {
public:
    // Adds an amount to the counter that the member pointer selects.
    void add(std::uint64_t PeerPortCounters::*counter, std::uint64_t amount) ABSL_LOCKS_EXCLUDED(m_mutex);
    // Returns a copy of the current values.
    PeerPortCounters counters() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    PeerPortCounters m_counters ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
