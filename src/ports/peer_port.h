#pragma once

#include "absl/strings/string_view.h"
#include "node/peer_message_type.h"

namespace mangohall {

// Sends messages to the other nodes of the system.
class PeerPort {
public:
    virtual ~PeerPort() = default;

    // Sends a message to the node at the address "ip:port" and returns at once. The message may be lost, duplicated,
    // delayed or delivered out of order.
    virtual void send(const NodeName& to, absl::string_view address, const PeerMessage& message) = 0;
};

} // namespace mangohall
