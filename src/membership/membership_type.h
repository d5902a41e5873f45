// Plain types of membership: the live nodes and the owners of shards.
#pragma once

#include <string>
#include <vector>

#include "core/name_type.h"

namespace mangohall {

// The role of a node. An entry serves callers and operators; a scheduler owns shards.
enum class NodeRole {
    Entry,
    Scheduler,
};

// A live process of the system. Its record in the store is bound to a lease and disappears when the lease lapses.
struct Member {
    NodeName node;
    NodeRole role = NodeRole::Scheduler;
    // The address "ip:port" that peers send to.
    std::string address;
    RegionName region;
    DataCentreName dataCentre;
    // The node is shutting down and takes no new shard and no new work.
    bool isLeaving = false;

    friend bool operator==(const Member&, const Member&) = default;
};

// The owner of a shard. The record is changed by compare-and-swap only, and every change of owner raises the epoch.
struct OwnerRecord {
    ShardName shard;
    // Empty once an owner has handed the shard over.
    NodeName node;
    Epoch epoch = 0;

    friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

} // namespace mangohall
