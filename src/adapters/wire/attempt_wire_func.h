// Conversion of the messages between the home shard of a job and the shards that run its tasks. The fromWire functions
// record fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "mangohall_types.h"
#include "node/peer_message_type.h"

namespace mangohall {

wire::AttemptId toWire(const AttemptId& from);
AttemptId fromWire(const wire::AttemptId& from, WireFault& fault);

wire::ReserveCapacity toWire(const ReserveCapacity& from);
ReserveCapacity fromWire(const wire::ReserveCapacity& from, WireFault& fault);

wire::CapacityHeld toWire(const CapacityHeld& from);
CapacityHeld fromWire(const wire::CapacityHeld& from, WireFault& fault);

wire::CapacityRefused toWire(const CapacityRefused& from);
CapacityRefused fromWire(const wire::CapacityRefused& from, WireFault& fault);

wire::StartAttempt toWire(const StartAttempt& from);
StartAttempt fromWire(const wire::StartAttempt& from, WireFault& fault);

wire::AttemptPrepared toWire(const AttemptPrepared& from);
AttemptPrepared fromWire(const wire::AttemptPrepared& from, WireFault& fault);

wire::ReleaseAttempt toWire(const ReleaseAttempt& from);
ReleaseAttempt fromWire(const wire::ReleaseAttempt& from, WireFault& fault);

wire::AbortAttempt toWire(const AbortAttempt& from);
AbortAttempt fromWire(const wire::AbortAttempt& from, WireFault& fault);

wire::PartEnded toWire(const PartEnded& from);
PartEnded fromWire(const wire::PartEnded& from, WireFault& fault);

wire::EndAcknowledged toWire(const EndAcknowledged& from);
EndAcknowledged fromWire(const wire::EndAcknowledged& from, WireFault& fault);

} // namespace mangohall
