// Conversion of the messages that distribute the configuration and the free capacity of shards. The fromWire functions
// record fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "mangohall_types.h"
#include "node/peer_message_type.h"

namespace mangohall {

wire::ConfigDelta toWire(const ConfigDelta& from);
ConfigDelta fromWire(const wire::ConfigDelta& from, WireFault& fault);

wire::RevisionReport toWire(const RevisionReport& from);
RevisionReport fromWire(const wire::RevisionReport& from, WireFault& fault);

wire::RegionRevisions toWire(const RegionRevisions& from);
RegionRevisions fromWire(const wire::RegionRevisions& from, WireFault& fault);

wire::CapacitySummary toWire(const CapacitySummary& from);
CapacitySummary fromWire(const wire::CapacitySummary& from, WireFault& fault);

} // namespace mangohall
