#include "node/declaration_test_func.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"
#include "placement/guarantee_planner_func.h"

namespace mangohall {

namespace {

// Whether the shard is declared.
bool hasShard(const Directory& directory, const ShardName& name)
{
    return std::any_of(directory.shards.begin(), directory.shards.end(),
        [&name](const ShardSpec& shard) { return shard.name == name; });
}

// Tests whether the organisation and the shard that the guarantee refers to are declared.
absl::Status testReferences(const Guarantee& guarantee, const Directory& directory)
{
    if (!directory.organisations.contains(guarantee.organisation))
        return makeError(ErrorKind::UnknownOrganisation, guarantee.organisation.text());
    if (!hasShard(directory, guarantee.shard))
        return makeError(ErrorKind::InvalidValue, absl::StrCat("spec.shard: no shard ", guarantee.shard.text()));
    return absl::OkStatus();
}

// Tests whether the cells of all guarantees fit into their shards if the given guarantee or shard, each of which may be
// null, replaces the declared one of the same name.
absl::Status testPacking(const Directory& directory, const Guarantee* changedGuarantee, const ShardSpec* changedShard)
{
    std::vector<ShardSpec> shards = directory.shards;
    if (changedShard != nullptr) {
        std::erase_if(shards, [changedShard](const ShardSpec& shard) { return shard.name == changedShard->name; });
        shards.push_back(*changedShard);
    }
    std::vector<Guarantee> guarantees;
    for (const auto& [name, guarantee] : directory.guarantees) {
        if (changedGuarantee == nullptr || name != changedGuarantee->name)
            guarantees.push_back(guarantee);
    }
    if (changedGuarantee != nullptr)
        guarantees.push_back(*changedGuarantee);
    std::sort(guarantees.begin(), guarantees.end(),
        [](const Guarantee& left, const Guarantee& right) { return left.name < right.name; });
    return testGuaranteesPack(shards, guarantees);
}

} // namespace

absl::Status testDeclaration(const ConfigSpec& spec, const Directory& directory)
{
    if (absl::Status status = checkConfigSpec(spec); !status.ok())
        return status;
    if (const auto* guarantee = std::get_if<Guarantee>(&spec)) {
        if (absl::Status status = testReferences(*guarantee, directory); !status.ok())
            return status;
        return testPacking(directory, guarantee, nullptr);
    }
    if (const auto* shard = std::get_if<ShardSpec>(&spec))
        return testPacking(directory, nullptr, shard);
    return absl::OkStatus();
}

absl::Status testRemoval(ConfigKind kind, absl::string_view name, const Directory& directory)
{
    for (const auto& [guaranteeName, guarantee] : directory.guarantees) {
        const bool isOrganisationNeeded = kind == ConfigKind::Organisation && guarantee.organisation.text() == name;
        const bool isShardNeeded = kind == ConfigKind::Shard && guarantee.shard.text() == name;
        if (isOrganisationNeeded || isShardNeeded)
            return makeError(
                ErrorKind::InvalidValue, absl::StrCat(name, " is needed by the guarantee ", guaranteeName.text()));
    }
    return absl::OkStatus();
}

} // namespace mangohall
