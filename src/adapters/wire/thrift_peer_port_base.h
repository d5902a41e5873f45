#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "adapters/wire/peer_port_type.h"
#include "adapters/wire/peer_sender_base.h"
#include "adapters/wire/shared_peer_counters_base.h"
#include "ports/peer_port.h"

namespace mangohall {

// Sends messages to other processes over Thrift, with a PeerSender for each destination, so that a destination that
// hangs or is unreachable does not delay the others.
class ThriftPeerPort : public PeerPort {
public:
    explicit ThriftPeerPort(const PeerPortSettings& settings);
    // Calls stop().
    ~ThriftPeerPort() override;
    ThriftPeerPort(const ThriftPeerPort&) = delete;
    ThriftPeerPort& operator=(const ThriftPeerPort&) = delete;

    void send(const NodeName& to, absl::string_view address, const PeerMessage& message) override
        ABSL_LOCKS_EXCLUDED(m_mutex);

    // Sends the queued messages and waits until all senders have closed. Messages sent later are dropped and counted.
    void stop() ABSL_LOCKS_EXCLUDED(m_mutex);

    PeerPortCounters counters() const { return m_counters.counters(); }

private:
    // The senders by address ("ip:port").
    using Senders = absl::flat_hash_map<std::string, std::shared_ptr<PeerSender>>;

    // Returns the open sender for the address and creates it if there is none. Null once the port has stopped.
    std::shared_ptr<PeerSender> senderFor(absl::string_view address, const PeerAddress& parsed)
        ABSL_LOCKS_EXCLUDED(m_mutex);
    // Removes the senders that have closed from the map. The caller destroys them outside the lock.
    std::vector<std::shared_ptr<PeerSender>> takeClosedSenders() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const PeerPortSettings m_settings;
    SharedPeerCounters m_counters;
    absl::Mutex m_mutex;
    Senders m_senders ABSL_GUARDED_BY(m_mutex);
    bool m_isStopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
