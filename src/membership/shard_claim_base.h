// One node's claim to one shard: decides when the node claims the shard and when it hands it over.
#pragma once

#include "absl/time/time.h"
#include "membership/directory_type.h"
#include "node/outbox_base.h"
#include "ports/random_port.h"

namespace mangohall {

// Claims and releases the ownership of a shard. Safety depends only on the compare-and-swap of the owner record and on
// its epoch; the leases of members only trigger an attempt. A node claims a shard that has no live owner if it is the
// preferred one. It hands a shard over once another node has been preferred for some time, so that a member that joins
// and leaves again moves no shard.
class ShardClaim {
public:
    enum class ClaimState {
        // The shard is not owned by this node.
        NotOwned,
        // The owner record that names this node is being written.
        Claiming,
        // The shard is owned by this node.
        Owned,
        // The shard is owned, and is to be released as soon as its state is durable.
        HandingOver,
        // The owner record that gives the shard up is being written.
        Releasing,
    };

    ShardClaim(ShardName shard, NodeName self, RandomSource& random, Outbox& outbox);

    const ShardName& shard() const { return m_shard; }
    ClaimState state() const { return m_state; }
    bool isOwned() const { return m_state == ClaimState::Owned || m_state == ClaimState::HandingOver; }
    // The epoch of the claim; valid while the shard is owned.
    Epoch epoch() const { return m_epoch; }

    // Compares the present owner with the preferred one and claims the shard or starts its handover if needed.
    // `isLeaving` says that this node is shutting down and gives up its shards.
    void reconcile(const Directory& directory, bool isLeaving, absl::Time now);
    // Writes the record that gives the shard up. The shard's state has to be durable.
    void release();
    // Gives the claim up without a write, because the store or a worker has shown that another node owns the shard.
    void markDeposed(absl::Time now);

    // Whether the claim made the store call.
    bool ownsCall(CallId call) const { return call != 0 && call == m_call; }
    // Handles the reply to a store call of the claim.
    void handleStoreReply(const StoreReply& reply, absl::Time now);

    // When `reconcile` has to be called next; infinite if only a change of the directory matters.
    absl::Time nextWake() const { return m_wakeAt; }

private:
    void claim(const ShardOwner& present);
    void reconcileOwned(const Directory& directory, bool isLeaving, absl::Time now);
    void reconcileNotOwned(const Directory& directory, bool isLeaving, absl::Time now);
    void handleClaimReply(const StoreReply& reply, absl::Time now);
    void handleReleaseReply(const StoreReply& reply, absl::Time now);

    const ShardName m_shard;
    const NodeName m_self;
    RandomSource& m_random;
    Outbox& m_outbox;
    ClaimState m_state = ClaimState::NotOwned;
    Epoch m_epoch = 0;
    // The store revision of the owner record that this node wrote or is about to replace.
    Revision m_recordRevision = 0;
    // The latest owner record seen, with its store revision.
    ShardOwner m_latestOwner;
    // The pending store call; 0 if there is none.
    CallId m_call = 0;
    // Consecutive failed calls.
    int m_failures = 0;
    absl::Time m_wakeAt = absl::InfiniteFuture();
    // When to claim a shard whose owner is no longer a member; in the infinite past if no such claim is planned.
    absl::Time m_claimAt = absl::InfinitePast();
    // Since when another node has been preferred; in the infinite future if none is.
    absl::Time m_unpreferredSince = absl::InfiniteFuture();
};

} // namespace mangohall
