#include "adapters/wire/directory_wire_func.h"

#include "adapters/wire/configuration_wire_func.h"
#include "adapters/wire/wire_value_func.h"

namespace mangohall {

wire::ConfigDelta toWire(const ConfigDelta& from)
{
    wire::ConfigDelta to;
    to.fromRevision = from.fromRevision;
    to.toRevision = from.toRevision;
    to.changed = listToWire<wire::ConfigObject>(from.changed);
    to.deletedKeys = from.deletedKeys;
    to.isWhole = from.isWhole;
    return to;
}

ConfigDelta fromWire(const wire::ConfigDelta& from, WireFault& fault)
{
    ConfigDelta to;
    to.fromRevision = from.fromRevision;
    to.toRevision = from.toRevision;
    to.changed = listFromWire<ConfigObject>(from.changed, fault);
    to.deletedKeys = from.deletedKeys;
    to.isWhole = from.isWhole;
    return to;
}

wire::RevisionReport toWire(const RevisionReport& from)
{
    wire::RevisionReport to;
    to.revision = from.revision;
    return to;
}

RevisionReport fromWire(const wire::RevisionReport& from, WireFault& /*fault*/)
{
    RevisionReport to;
    to.revision = from.revision;
    return to;
}

wire::RegionRevisions toWire(const RegionRevisions& from)
{
    wire::RegionRevisions to;
    to.region = from.region.str();
    to.inForce = from.inForce;
    to.lagging = namesToWire(from.lagging);
    return to;
}

RegionRevisions fromWire(const wire::RegionRevisions& from, WireFault& /*fault*/)
{
    RegionRevisions to;
    to.region = RegionName(from.region);
    to.inForce = from.inForce;
    to.lagging = namesFromWire<NodeName>(from.lagging);
    return to;
}

wire::CapacitySummary toWire(const CapacitySummary& from)
{
    wire::CapacitySummary to;
    to.shard = from.shard.str();
    to.freeAccelerators = from.freeAccelerators;
    to.largestFreeWorker = from.largestFreeWorker;
    to.largestFreeRack = from.largestFreeRack;
    to.queuedTasks = from.queuedTasks;
    return to;
}

CapacitySummary fromWire(const wire::CapacitySummary& from, WireFault& /*fault*/)
{
    CapacitySummary to;
    to.shard = ShardName(from.shard);
    to.freeAccelerators = from.freeAccelerators;
    to.largestFreeWorker = from.largestFreeWorker;
    to.largestFreeRack = from.largestFreeRack;
    to.queuedTasks = from.queuedTasks;
    return to;
}

} // namespace mangohall
