#include "adapters/wire/membership_json_func.h"

#include "adapters/json/object_reader_base.h"

namespace mangohall {

namespace {

constexpr EnumeratorName<NodeRole> roleNames[] = {
    { "entry", NodeRole::Entry },
    { "scheduler", NodeRole::Scheduler },
};

absl::string_view roleName(NodeRole role)
{
    return role == NodeRole::Entry ? roleNames[0].name : roleNames[1].name;
}

} // namespace

nlohmann::json toJson(const OwnerRecord& record)
{
    return {
        { "shard", record.shard.str() },
        { "node", record.node.str() },
        { "epoch", record.epoch },
    };
}

nlohmann::json toJson(const Member& member)
{
    return {
        { "node", member.node.str() },
        { "role", std::string(roleName(member.role)) },
        { "address", member.address },
        { "region", member.region.str() },
        { "dataCentre", member.dataCentre.str() },
        { "isLeaving", member.isLeaving },
    };
}

absl::StatusOr<OwnerRecord> ownerRecordFromJson(const nlohmann::json& fields)
{
    OwnerRecord record;
    ObjectReader reader(fields, "");
    reader.require("shard");
    reader.require("node");
    reader.require("epoch");
    reader.read("shard", record.shard);
    reader.read("node", record.node);
    reader.read("epoch", record.epoch);
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    return record;
}

absl::StatusOr<Member> memberFromJson(const nlohmann::json& fields)
{
    Member member;
    ObjectReader reader(fields, "");
    reader.require("node");
    reader.require("role");
    reader.require("address");
    reader.read("node", member.node);
    reader.read<NodeRole>("role", member.role, roleNames);
    reader.read("address", member.address);
    reader.read("region", member.region);
    reader.read("dataCentre", member.dataCentre);
    reader.read("isLeaving", member.isLeaving);
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    return member;
}

} // namespace mangohall
