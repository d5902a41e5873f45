#include "adapters/wire/configuration_wire_func.h"

#include "adapters/wire/wire_value_func.h"

namespace mangohall {

wire::Organisation toWire(const Organisation& from)
{
    wire::Organisation to;
    to.name = from.name.str();
    to.weight = from.weight;
    to.maxQueuedJobs = from.maxQueuedJobs;
    to.maxAccelerators = from.maxAccelerators;
    return to;
}

Organisation fromWire(const wire::Organisation& from, WireFault& /*fault*/)
{
    Organisation to;
    to.name = OrganisationName(from.name);
    to.weight = from.weight;
    to.maxQueuedJobs = from.maxQueuedJobs;
    to.maxAccelerators = from.maxAccelerators;
    return to;
}

wire::Guarantee toWire(const Guarantee& from)
{
    wire::Guarantee to;
    to.name = from.name.str();
    to.organisation = from.organisation.str();
    to.shard = from.shard.str();
    to.cells = from.cells;
    to.acceleratorsPerCell = from.acceleratorsPerCell;
    to.adjacency = toWireEnum(adjacencyTable, from.adjacency);
    return to;
}

Guarantee fromWire(const wire::Guarantee& from, WireFault& fault)
{
    Guarantee to;
    to.name = GuaranteeName(from.name);
    to.organisation = OrganisationName(from.organisation);
    to.shard = ShardName(from.shard);
    to.cells = from.cells;
    to.acceleratorsPerCell = from.acceleratorsPerCell;
    to.adjacency = enumFromWire(adjacencyTable, from.adjacency, "Guarantee.adjacency", fault);
    return to;
}

wire::Service toWire(const Service& from)
{
    wire::Service to;
    to.name = from.name.str();
    to.slotsPerWorker = from.slotsPerWorker;
    to.connectionsPerWorker = from.connectionsPerWorker;
    return to;
}

Service fromWire(const wire::Service& from, WireFault& /*fault*/)
{
    Service to;
    to.name = ServiceName(from.name);
    to.slotsPerWorker = from.slotsPerWorker;
    to.connectionsPerWorker = from.connectionsPerWorker;
    return to;
}

wire::Drain toWire(const Drain& from)
{
    wire::Drain to;
    to.name = from.name;
    to.target = toWireEnum(drainTargetTable, from.target);
    to.targetName = from.targetName;
    return to;
}

Drain fromWire(const wire::Drain& from, WireFault& fault)
{
    Drain to;
    to.name = from.name;
    to.target = enumFromWire(drainTargetTable, from.target, "Drain.target", fault);
    to.targetName = from.targetName;
    return to;
}

wire::Policy toWire(const Policy& from)
{
    wire::Policy to;
    to.name = from.name;
    to.completionWeight = from.completionWeight;
    to.checkpointGrace = toWireDuration(from.checkpointGrace);
    return to;
}

Policy fromWire(const wire::Policy& from, WireFault& /*fault*/)
{
    Policy to;
    to.name = from.name;
    to.completionWeight = from.completionWeight;
    to.checkpointGrace = durationFromWire(from.checkpointGrace);
    return to;
}

wire::ShardSpec toWire(const ShardSpec& from)
{
    wire::ShardSpec to;
    to.name = from.name.str();
    to.region = from.region.str();
    to.dataCentre = from.dataCentre.str();
    to.racks = namesToWire(from.racks);
    to.workersPerRack = from.workersPerRack;
    to.acceleratorsPerWorker = from.acceleratorsPerWorker;
    return to;
}

ShardSpec fromWire(const wire::ShardSpec& from, WireFault& /*fault*/)
{
    ShardSpec to;
    to.name = ShardName(from.name);
    to.region = RegionName(from.region);
    to.dataCentre = DataCentreName(from.dataCentre);
    to.racks = namesFromWire<RackName>(from.racks);
    to.workersPerRack = from.workersPerRack;
    to.acceleratorsPerWorker = from.acceleratorsPerWorker;
    return to;
}

namespace {

// Sets the member of the Thrift union that corresponds to the kind of object.
class ConfigSpecWriter {
public:
    explicit ConfigSpecWriter(wire::ConfigSpec& to)
        : m_to(to)
    {
    }

    void operator()(const Organisation& from) const { m_to.__set_organisation(toWire(from)); }
    void operator()(const Guarantee& from) const { m_to.__set_guarantee(toWire(from)); }
    void operator()(const Service& from) const { m_to.__set_serviceSpec(toWire(from)); }
    void operator()(const Drain& from) const { m_to.__set_drain(toWire(from)); }
    void operator()(const Policy& from) const { m_to.__set_policy(toWire(from)); }
    void operator()(const ShardSpec& from) const { m_to.__set_shard(toWire(from)); }

private:
    wire::ConfigSpec& m_to;
};

} // namespace

wire::ConfigSpec toWire(const ConfigSpec& from)
{
    wire::ConfigSpec to;
    std::visit(ConfigSpecWriter(to), from);
    return to;
}

ConfigSpec fromWire(const wire::ConfigSpec& from, WireFault& fault)
{
    if (from.__isset.organisation)
        return fromWire(from.organisation, fault);
    if (from.__isset.guarantee)
        return fromWire(from.guarantee, fault);
    if (from.__isset.serviceSpec)
        return fromWire(from.serviceSpec, fault);
    if (from.__isset.drain)
        return fromWire(from.drain, fault);
    if (from.__isset.policy)
        return fromWire(from.policy, fault);
    if (from.__isset.shard)
        return fromWire(from.shard, fault);
    fault.record("ConfigSpec");
    return {};
}

wire::ConfigObject toWire(const ConfigObject& from)
{
    wire::ConfigObject to;
    to.spec = toWire(from.spec);
    to.revision = from.revision;
    to.changeId = from.changeId;
    return to;
}

ConfigObject fromWire(const wire::ConfigObject& from, WireFault& fault)
{
    ConfigObject to;
    to.spec = fromWire(from.spec, fault);
    to.revision = from.revision;
    to.changeId = from.changeId;
    return to;
}

} // namespace mangohall
