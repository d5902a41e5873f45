// Conversion of jobs to and from Thrift, for messages and for the ledger in the store. The fromWire functions record
// fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "job/job_type.h"
#include "mangohall_types.h"
#include "node/store_message_type.h"

namespace mangohall {

wire::JobKey toWire(const JobKey& from);
JobKey fromWire(const wire::JobKey& from, WireFault& fault);

wire::TaskId toWire(const TaskId& from);
TaskId fromWire(const wire::TaskId& from, WireFault& fault);

wire::Shape toWire(const Shape& from);
Shape fromWire(const wire::Shape& from, WireFault& fault);

wire::JobSpec toWire(const JobSpec& from);
JobSpec fromWire(const wire::JobSpec& from, WireFault& fault);

wire::TaskPlacement toWire(const TaskPlacement& from);
TaskPlacement fromWire(const wire::TaskPlacement& from, WireFault& fault);

wire::JobRecord toWire(const JobRecord& from);
JobRecord fromWire(const wire::JobRecord& from, WireFault& fault);

wire::LedgerBucket toWire(const LedgerBucket& from);
LedgerBucket fromWire(const wire::LedgerBucket& from, WireFault& fault);

} // namespace mangohall
