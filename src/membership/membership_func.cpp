#include "membership/membership_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/hash_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// The distance of a member from a shard; smaller is nearer. A null shard stands for a ledger shard, which has no place.
int distance(const Member& member, const ShardSpec* shard)
{
    constexpr int sameDataCentre = 0;
    constexpr int sameRegion = 1;
    constexpr int elsewhere = 2;
    if (shard == nullptr || member.dataCentre == shard->dataCentre)
        return sameDataCentre;
    return member.region == shard->region ? sameRegion : elsewhere;
}

} // namespace

absl::string_view clusterPrefix()
{
    return "cluster/";
}

std::string memberKey(const NodeName& node)
{
    return absl::StrCat(clusterPrefix(), "members/", node.text());
}

std::string ownerKey(const ShardName& shard)
{
    return absl::StrCat(clusterPrefix(), "owners/", shard.text());
}

NodeName preferredOwner(const Directory& directory, const ShardName& shard)
{
    const auto found = std::find_if(directory.shards.begin(), directory.shards.end(),
        [&shard](const ShardSpec& candidate) { return candidate.name == shard; });
    const ShardSpec* shardSpec = found == directory.shards.end() ? nullptr : &*found;
    NodeName best;
    int bestDistance = 0;
    std::uint64_t bestWeight = 0;
    for (const auto& [node, member] : directory.members) {
        if (member.role != NodeRole::Scheduler || member.isLeaving)
            continue;
        const int memberDistance = distance(member, shardSpec);
        const std::uint64_t weight = rendezvousWeight(shard.text(), node.text());
        const bool isBetter
            = best.empty() || memberDistance < bestDistance || (memberDistance == bestDistance && weight > bestWeight);
        if (!isBetter)
            continue;
        best = node;
        bestDistance = memberDistance;
        bestWeight = weight;
    }
    return best;
}

std::vector<ShardName> allShards(const Directory& directory)
{
    std::vector<ShardName> shards;
    shards.reserve(ledgerShardCount + directory.shards.size());
    for (int index = 0; index < ledgerShardCount; ++index)
        shards.push_back(ledgerShardName(index));
    for (const ShardSpec& spec : directory.shards)
        shards.push_back(spec.name);
    return shards;
}

} // namespace mangohall
