// The directory: what a node knows about the whole system. It holds the members, the owners of shards and the declared
// configuration. A snapshot never changes, so that every part of a node may read it without a lock.
#pragma once

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "configuration/configuration_type.h"
#include "core/name_type.h"
#include "membership/membership_type.h"

namespace mangohall {

// The owner of a shard with the store revision of its record.
struct ShardOwner {
    OwnerRecord record;
    Revision modRevision = 0;
};

// The known state of the system at one time.
struct Directory {
    // The live members, that is, those with a record in the store.
    absl::flat_hash_map<NodeName, Member> members;
    absl::flat_hash_map<ShardName, ShardOwner> owners;
    // The declared resources.
    absl::flat_hash_map<OrganisationName, Organisation> organisations;
    absl::flat_hash_map<GuaranteeName, Guarantee> guarantees;
    absl::flat_hash_map<ServiceName, Service> services;
    std::vector<Drain> drains;
    std::vector<ShardSpec> shards;
    Policy policy;
    // The store revision of the declared resources; 0 if they have not been read yet.
    Revision configRevision = 0;
};

using DirectorySnapshot = std::shared_ptr<const Directory>;

} // namespace mangohall
