#pragma once

#include <memory>
#include <vector>

#include "Peer.h"
#include "absl/status/status.h"
#include "adapters/wire/peer_address_func.h"
#include "adapters/wire/peer_port_type.h"
#include "thrift/transport/TSocket.h"

namespace mangohall {

// A Thrift connection to one peer, opened on first use. Used by one thread only.
class PeerConnection {
public:
    PeerConnection(PeerAddress address, const PeerPortSettings& settings);

    bool isOpen() const { return m_client != nullptr; }
    // Connects if the connection is not open. OwnerUnreachable if that fails.
    absl::Status open();
    // Opens the connection if necessary, sends a batch and waits for its acknowledgement. `bytes` is the approximate
    // encoded size, from which the timeout is computed. OwnerUnreachable if any step fails. A failed call closes the
    // connection, because the peer or a network element may have lost its state.
    absl::Status deliver(const std::vector<wire::PeerEnvelope>& batch, std::size_t bytes);
    // Closes the connection; the next delivery opens a new one.
    void close();

private:
    // The time allowed for the acknowledgement of a batch of this size.
    absl::Duration acknowledgementTimeout(std::size_t bytes) const;

    const PeerAddress m_address;
    const PeerPortSettings m_settings;
    // The socket and the client; both null while the connection is closed.
    std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
    std::unique_ptr<wire::PeerClient> m_client;
};

} // namespace mangohall
