#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/node/outbox_base.h"
#include "batch/store/collection_follower_base.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

// A change of this node's ownership of jobs and workers, if there was one.
struct OwnershipUpdate {
    // This node has become the owner.
    bool isTaken = false;
    // This node is no longer the owner.
    bool isLost = false;
    // Why the ownership has changed, for the log.
    std::string reason;
};

// Follows which node owns jobs and workers, and claims the ownership when no node has it. The holder's record is
// deleted with the holder's lease; each claim raises the epoch in the same commit. Every write of an owner expects the
// epoch's record to be unchanged, so safety does not depend on the lease. Not safe to call from several threads.
class Ownership {
public:
    // `claimDelay` is added before each claim. Nodes with more processor have a shorter delay. `processorShare` is the
    // share of a processor that the node may use, which its record says.
    Ownership(NodeName self, absl::Duration claimDelay, double processorShare, RandomSource& random);

    // Sends the calls that are due.
    void advance(Outbox& outbox, absl::Time now);
    // When `advance` or `checkLease` has something to do next.
    absl::Time nextDue() const;

    // Whether the call is a pending call of this object.
    bool ownsCall(CallId call) const { return m_follower.ownsCall(call) || (call != 0 && call == m_call); }
    // Applies the reply to a pending call, or its failure.
    OwnershipUpdate handleReply(CallId call, const StoreReply& reply, absl::Time now);
    // Gives up the ownership if the lease may have expired.
    OwnershipUpdate checkLease(absl::Time now);

    // Gives up the ownership because another owner exists. Does nothing if this node is not the owner.
    OwnershipUpdate lose(absl::string_view reason, absl::Time now);
    // Whether a call of this object is pending, other than that of following the records.
    bool isCallPending() const { return m_call != 0; }
    // Gives up the ownership in favour of the candidate. This node claims it again only if no other node takes it.
    OwnershipUpdate yield(absl::Time now);
    // Revokes the lease, so that another node can take the ownership at once. This node never claims it again.
    void resign(Outbox& outbox);
    bool hasResigned() const { return m_isResigning && m_call == 0 && !m_isOwner; }

    bool isOwner() const { return m_isOwner; }
    // When this node has to give up the ownership unless the lease is renewed.
    absl::Time leaseEnd() const;
    Epoch epoch() const { return m_epoch; }
    // The records of the holder and of the node that asks for the ownership, as last read; none if there is none.
    const absl::optional<HolderRecord>& holder() const { return m_holder; }
    const absl::optional<CandidateRecord>& candidate() const { return m_candidate; }
    // Whether this node owns the jobs and another one asks for them that should have them.
    bool shouldYield() const;
    // The expectation that every write of this owner has to contain.
    ExpectedRevision expectation() const { return { { Collection::Epoch, "" }, m_epochRevision }; }

private:
    // The purpose of the pending call.
    enum class Step {
        None,
        Granting,
        Claiming,
        Renewing,
        Revoking,
    };

    void applyRecords(const CollectionUpdate& update, absl::Time now);
    void applyHolder(const Record& record, absl::Time now);
    void applyCandidate(const Record& record);
    bool isCandidate() const { return m_candidate && m_candidate->node == m_self; }
    OwnershipUpdate handleGrantReply(const StoreReply& reply, absl::Time now);
    OwnershipUpdate handleClaimReply(const StoreReply& reply, absl::Time now);
    OwnershipUpdate handleRenewalReply(const StoreReply& reply, absl::Time now);
    OwnershipUpdate becomeOwner(Revision epochRevision, absl::Time now);
    // Whether the record is the one that this node's last claim writes.
    bool namesThisClaim(const absl::optional<HolderRecord>& holder) const;
    // Becomes the owner if the holder's record in the store shows that this node's claim was executed.
    OwnershipUpdate adoptOwnRecord(absl::Time now);
    void sendStep(Step step, StoreRequest request, Outbox& outbox, absl::Time now);
    void claim(Outbox& outbox, absl::Time now);
    // Delays the next call, and abandons a lease that may expire before.
    void delayNextTry(absl::Time now);
    absl::Duration nextClaimDelay();

    const NodeName m_self;
    const absl::Duration m_claimDelay;
    const double m_processorShare;
    RandomSource& m_random;
    CollectionFollower m_follower;
    // Whether the holder and the epoch have been read; the holder, if there is one, and the epoch as last read.
    bool m_isHolderKnown = false;
    absl::optional<HolderRecord> m_holder;
    absl::optional<CandidateRecord> m_candidate;
    Epoch m_knownEpoch = 0;
    Revision m_knownEpochRevision = 0;

    Step m_step = Step::None;
    CallId m_call = 0;
    // When the pending call was sent.
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_nextTryAt = absl::InfinitePast();
    // No claim is made before, so that the candidate comes first.
    absl::Time m_mayClaimAt = absl::InfinitePast();
    // The lease of this node; 0 if there is none.
    std::int64_t m_lease = 0;
    // The lease of the last claim, with which the record that it writes is deleted.
    std::int64_t m_claimLease = 0;
    // The lease of an ownership that was lost, still to be revoked. A delayed renewal may keep it alive in the store,
    // and other nodes waiting.
    std::int64_t m_leaseToRevoke = 0;
    // When the call was sent that last granted or renewed the lease.
    absl::Time m_leaseConfirmedAt = absl::InfinitePast();
    bool m_isOwner = false;
    bool m_isResigning = false;
    // The epoch of this node's last claim, and the revision of its record.
    Epoch m_epoch = 0;
    Revision m_epochRevision = 0;
};

} // namespace mangohall::batch
