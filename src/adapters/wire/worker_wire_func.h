// Conversion of the reports of workers to and from Thrift. The fromWire functions record
// fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "mangohall_types.h"
#include "worker/worker_type.h"

namespace mangohall {

wire::Resources toWire(const Resources& from);
Resources fromWire(const wire::Resources& from, WireFault& fault);

wire::TaskReport toWire(const TaskReport& from);
TaskReport fromWire(const wire::TaskReport& from, WireFault& fault);

} // namespace mangohall
