// Conversion of the messages between entry nodes and home shards. The fromWire functions record
// fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "mangohall_types.h"
#include "node/peer_message_type.h"

namespace mangohall {

wire::SubmitJob toWire(const SubmitJob& from);
SubmitJob fromWire(const wire::SubmitJob& from, WireFault& fault);

wire::CancelJob toWire(const CancelJob& from);
CancelJob fromWire(const wire::CancelJob& from, WireFault& fault);

wire::QueryJob toWire(const QueryJob& from);
QueryJob fromWire(const wire::QueryJob& from, WireFault& fault);

wire::JobStatus toWire(const JobStatus& from);
JobStatus fromWire(const wire::JobStatus& from, WireFault& fault);

} // namespace mangohall
