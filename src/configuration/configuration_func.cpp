#include "configuration/configuration_func.h"

#include <cctype>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr std::size_t maxNameLength = 128;
constexpr int maxWeight = 1'000'000;
constexpr int maxQueuedJobsLimit = 1'000'000;
constexpr int maxAcceleratorsLimit = 1'000'000;
constexpr int maxCells = 100'000;
constexpr int maxAcceleratorsPerCell = 4096;
constexpr int maxSlotsPerWorker = 4096;
constexpr int maxConnectionsPerWorker = 4096;
constexpr int maxWorkersPerRack = 1024;
constexpr int maxAcceleratorsPerWorker = 64;
constexpr std::size_t maxRacksPerShard = 4096;
constexpr absl::Duration maxCheckpointGrace = absl::Minutes(1);

absl::Status invalid(absl::string_view field, absl::string_view rule)
{
    return makeError(ErrorKind::InvalidValue, absl::StrCat(field, ": ", rule));
}

// Checks that the value is within the bounds, both included.
absl::Status checkRange(absl::string_view field, int value, int lowest, int highest)
{
    if (value < lowest || value > highest)
        return invalid(field, absl::StrCat("must be ", lowest, " to ", highest, ", is ", value));
    return absl::OkStatus();
}

bool isNameCharacter(char character)
{
    if (std::isalnum(static_cast<unsigned char>(character)) != 0)
        return true;
    return character == '.' || character == '_' || character == '-';
}

// Checks a resource name. Names are part of store keys and URL paths, so they contain no separator.
absl::Status checkName(absl::string_view field, absl::string_view name)
{
    if (name.empty())
        return invalid(field, "must be given");
    if (name.size() > maxNameLength)
        return invalid(field, absl::StrCat("must have at most ", maxNameLength, " characters"));
    for (const char character : name) {
        if (!isNameCharacter(character))
            return invalid(field, "may hold only A-Z a-z 0-9 . _ -");
    }
    if (name == "." || name == "..")
        return invalid(field, "must not be a relative path");
    return absl::OkStatus();
}

// The first error among the checks; OK if all passed.
absl::Status firstError(std::initializer_list<absl::Status> checks)
{
    for (const absl::Status& check : checks) {
        if (!check.ok())
            return check;
    }
    return absl::OkStatus();
}

absl::Status checkFields(const Organisation& organisation)
{
    return firstError({
        checkRange("spec.weight", organisation.weight, 1, maxWeight),
        checkRange("spec.maxQueuedJobs", organisation.maxQueuedJobs, 0, maxQueuedJobsLimit),
        checkRange("spec.maxAccelerators", organisation.maxAccelerators, 0, maxAcceleratorsLimit),
    });
}

absl::Status checkFields(const Guarantee& guarantee)
{
    return firstError({
        checkName("spec.organisation", guarantee.organisation.text()),
        checkName("spec.shard", guarantee.shard.text()),
        checkRange("spec.cells", guarantee.cells, 1, maxCells),
        checkRange("spec.acceleratorsPerCell", guarantee.acceleratorsPerCell, 1, maxAcceleratorsPerCell),
    });
}

absl::Status checkFields(const Service& service)
{
    return firstError({
        checkRange("spec.slotsPerWorker", service.slotsPerWorker, 1, maxSlotsPerWorker),
        checkRange("spec.connectionsPerWorker", service.connectionsPerWorker, 1, maxConnectionsPerWorker),
    });
}

absl::Status checkFields(const Drain& drain)
{
    return checkName("spec.targetName", drain.targetName);
}

absl::Status checkFields(const Policy& policy)
{
    // The negated form also rejects NaN.
    if (!(policy.completionWeight >= 0 && policy.completionWeight <= 1))
        return invalid("spec.completionWeight", "must be 0 to 1");
    if (policy.checkpointGrace < absl::ZeroDuration() || policy.checkpointGrace > maxCheckpointGrace)
        return invalid(
            "spec.checkpointGraceMs", absl::StrCat("must be 0 to ", absl::ToInt64Milliseconds(maxCheckpointGrace)));
    return absl::OkStatus();
}

absl::Status checkRacks(const std::vector<RackName>& racks)
{
    if (racks.empty())
        return invalid("spec.racks", "must name at least one rack");
    if (racks.size() > maxRacksPerShard)
        return invalid("spec.racks", absl::StrCat("must name at most ", maxRacksPerShard, " racks"));
    std::set<absl::string_view> seen;
    for (std::size_t index = 0; index < racks.size(); ++index) {
        const std::string field = absl::StrCat("spec.racks[", index, "]");
        absl::Status name = checkName(field, racks[index].text());
        if (!name.ok())
            return name;
        if (!seen.insert(racks[index].text()).second)
            return invalid(field, "stands twice");
    }
    return absl::OkStatus();
}

absl::Status checkFields(const ShardSpec& shard)
{
    return firstError({
        checkName("spec.region", shard.region.text()),
        checkName("spec.dataCentre", shard.dataCentre.text()),
        checkRacks(shard.racks),
        checkRange("spec.workersPerRack", shard.workersPerRack, 1, maxWorkersPerRack),
        checkRange("spec.acceleratorsPerWorker", shard.acceleratorsPerWorker, 0, maxAcceleratorsPerWorker),
    });
}

absl::string_view nameText(absl::string_view name)
{
    return name;
}

template <typename Tag> absl::string_view nameText(const Name<Tag>& name)
{
    return name.text();
}

} // namespace

ConfigKind kindOf(const ConfigSpec& spec)
{
    return static_cast<ConfigKind>(spec.index());
}

absl::string_view nameOf(const ConfigSpec& spec)
{
    return std::visit([](const auto& resource) { return nameText(resource.name); }, spec);
}

absl::Status checkConfigSpec(const ConfigSpec& spec)
{
    absl::Status name = checkName("name", nameOf(spec));
    if (!name.ok())
        return name;
    return std::visit([](const auto& resource) { return checkFields(resource); }, spec);
}

absl::string_view configPrefix()
{
    return "config/";
}

std::string configKey(ConfigKind kind, absl::string_view name)
{
    return absl::StrCat(configPrefix(), configKindName(kind), "/", name);
}

absl::string_view configKindName(ConfigKind kind)
{
    switch (kind) {
    case ConfigKind::Organisation:
        return "organisations";
    case ConfigKind::Guarantee:
        return "guarantees";
    case ConfigKind::Service:
        return "services";
    case ConfigKind::Drain:
        return "drains";
    case ConfigKind::Policy:
        return "policies";
    case ConfigKind::Shard:
        break;
    }
    return "shards";
}

} // namespace mangohall
