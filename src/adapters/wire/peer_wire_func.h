// Conversion of messages between processes to and from Thrift, with their envelope. The fromWire functions record
// fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "mangohall_types.h"
#include "node/peer_message_type.h"

namespace mangohall {

wire::PeerPayload toWire(const PeerPayload& from);
PeerPayload fromWire(const wire::PeerPayload& from, WireFault& fault);

wire::PeerEnvelope toWire(const PeerMessage& from);
PeerMessage fromWire(const wire::PeerEnvelope& from, WireFault& fault);

} // namespace mangohall
