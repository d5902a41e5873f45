// Free functions on membership: store keys and the preferred owners of shards.
#pragma once

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "membership/directory_type.h"

namespace mangohall {

// The prefix of the store keys of members and owners, "cluster/".
absl::string_view clusterPrefix();

// The store key of a member, "cluster/members/<node>".
std::string memberKey(const NodeName& node);

// The store key of a shard's owner, "cluster/owners/<shard>".
std::string ownerKey(const ShardName& shard);

// The live scheduler that should own the shard. For a building shard that is a scheduler in its data centre if there is
// one, otherwise in its region, otherwise any; for a ledger shard it is any. Among several the one with the largest
// rendezvous weight is preferred. Schedulers that are leaving do not count. Empty if there is none.
NodeName preferredOwner(const Directory& directory, const ShardName& shard);

// Every shard that needs an owner: the ledger shards and the declared building shards.
std::vector<ShardName> allShards(const Directory& directory);

} // namespace mangohall
