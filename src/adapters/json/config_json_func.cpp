#include "adapters/json/config_json_func.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr ConfigKind configKinds[] = {
    ConfigKind::Organisation,
    ConfigKind::Guarantee,
    ConfigKind::Service,
    ConfigKind::Drain,
    ConfigKind::Policy,
    ConfigKind::Shard,
};

constexpr EnumeratorName<Adjacency> adjacencyNames[] = {
    { "anywhere", Adjacency::Anywhere },
    { "sameDataCentre", Adjacency::SameDataCentre },
    { "sameRack", Adjacency::SameRack },
    { "sameWorker", Adjacency::SameWorker },
};

constexpr EnumeratorName<DrainTarget> drainTargetNames[] = {
    { "worker", DrainTarget::Worker },
    { "rack", DrainTarget::Rack },
    { "dataCentre", DrainTarget::DataCentre },
};

template <typename Value> std::string enumeratorName(absl::Span<const EnumeratorName<Value>> names, Value value)
{
    for (const EnumeratorName<Value>& row : names) {
        if (row.value == value)
            return std::string(row.name);
    }
    return {};
}

nlohmann::json fieldsOf(const Organisation& organisation)
{
    return {
        { "weight", organisation.weight },
        { "maxQueuedJobs", organisation.maxQueuedJobs },
        { "maxAccelerators", organisation.maxAccelerators },
    };
}

nlohmann::json fieldsOf(const Guarantee& guarantee)
{
    return {
        { "organisation", guarantee.organisation.str() },
        { "shard", guarantee.shard.str() },
        { "cells", guarantee.cells },
        { "acceleratorsPerCell", guarantee.acceleratorsPerCell },
        { "adjacency", enumeratorName<Adjacency>(adjacencyNames, guarantee.adjacency) },
    };
}

nlohmann::json fieldsOf(const Service& service)
{
    return {
        { "slotsPerWorker", service.slotsPerWorker },
        { "connectionsPerWorker", service.connectionsPerWorker },
    };
}

nlohmann::json fieldsOf(const Drain& drain)
{
    return {
        { "target", enumeratorName<DrainTarget>(drainTargetNames, drain.target) },
        { "targetName", drain.targetName },
    };
}

nlohmann::json fieldsOf(const Policy& policy)
{
    return {
        { "completionWeight", policy.completionWeight },
        { "checkpointGraceMs", absl::ToInt64Milliseconds(policy.checkpointGrace) },
    };
}

nlohmann::json fieldsOf(const ShardSpec& shard)
{
    nlohmann::json racks = nlohmann::json::array();
    for (const RackName& rack : shard.racks)
        racks.push_back(rack.str());
    return {
        { "region", shard.region.str() },
        { "dataCentre", shard.dataCentre.str() },
        { "racks", std::move(racks) },
        { "workersPerRack", shard.workersPerRack },
        { "acceleratorsPerWorker", shard.acceleratorsPerWorker },
    };
}

void readFields(ObjectReader& reader, Organisation& organisation)
{
    reader.read("weight", organisation.weight);
    reader.read("maxQueuedJobs", organisation.maxQueuedJobs);
    reader.read("maxAccelerators", organisation.maxAccelerators);
}

void readFields(ObjectReader& reader, Guarantee& guarantee)
{
    reader.read("organisation", guarantee.organisation);
    reader.read("shard", guarantee.shard);
    reader.read("cells", guarantee.cells);
    reader.read("acceleratorsPerCell", guarantee.acceleratorsPerCell);
    reader.read<Adjacency>("adjacency", guarantee.adjacency, adjacencyNames);
}

void readFields(ObjectReader& reader, Service& service)
{
    reader.read("slotsPerWorker", service.slotsPerWorker);
    reader.read("connectionsPerWorker", service.connectionsPerWorker);
}

void readFields(ObjectReader& reader, Drain& drain)
{
    reader.require("target");
    reader.read<DrainTarget>("target", drain.target, drainTargetNames);
    reader.read("targetName", drain.targetName);
}

void readFields(ObjectReader& reader, Policy& policy)
{
    reader.read("completionWeight", policy.completionWeight);
    reader.read("checkpointGraceMs", policy.checkpointGrace);
}

void readFields(ObjectReader& reader, ShardSpec& shard)
{
    reader.read("region", shard.region);
    reader.read("dataCentre", shard.dataCentre);
    reader.read("racks", shard.racks);
    reader.read("workersPerRack", shard.workersPerRack);
    reader.read("acceleratorsPerWorker", shard.acceleratorsPerWorker);
}

void setName(std::string& target, absl::string_view name)
{
    target = std::string(name);
}

template <typename Tag> void setName(Name<Tag>& target, absl::string_view name)
{
    target = Name<Tag>(name);
}

// A spec of the kind with default values.
ConfigSpec makeSpec(ConfigKind kind)
{
    switch (kind) {
    case ConfigKind::Organisation:
        return Organisation();
    case ConfigKind::Guarantee:
        return Guarantee();
    case ConfigKind::Service:
        return Service();
    case ConfigKind::Drain:
        return Drain();
    case ConfigKind::Policy:
        return Policy();
    case ConfigKind::Shard:
        break;
    }
    return ShardSpec();
}

} // namespace

absl::StatusOr<ConfigKind> configKindFromName(absl::string_view name)
{
    for (const ConfigKind kind : configKinds) {
        if (configKindName(kind) == name)
            return kind;
    }
    return makeError(ErrorKind::NotFound, absl::StrCat("there is no kind \"", name, "\""));
}

nlohmann::json toJson(const ConfigSpec& spec)
{
    return std::visit([](const auto& resource) { return fieldsOf(resource); }, spec);
}

absl::StatusOr<ConfigSpec> configSpecFromJson(ConfigKind kind, absl::string_view name, const nlohmann::json& fields)
{
    ConfigSpec spec = makeSpec(kind);
    ObjectReader reader(fields, "spec");
    std::visit(
        [&](auto& resource) {
            setName(resource.name, name);
            readFields(reader, resource);
        },
        spec);
    absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    status = checkConfigSpec(spec);
    if (!status.ok())
        return status;
    return spec;
}

} // namespace mangohall
