#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/node/outbox_base.h"
#include "batch/store/collection_follower_base.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

// How this node stands to the ownership of jobs and workers, and what has just changed.
struct OwnershipNews {
    bool isTaken = false;
    bool isLost = false;
    std::string reason;
};

// Follows who owns jobs and workers and takes the ownership when nobody has it. The holder's record hangs on its lease;
// each taking raises the epoch in the same commit. What an owner writes expects the epoch's record unchanged, so that
// safety does not rest on the lease. Not safe to call from several threads.
class Ownership {
public:
    // `claimDelay` is added before each claim: nodes that carry more have less of it.
    Ownership(NodeName self, absl::Duration claimDelay, RandomSource& random);

    void advance(Outbox& outbox, absl::Time now);
    absl::Time nextDue() const;

    bool isMine(CallId call) const { return m_follower.isMine(call) || (call != 0 && call == m_call); }
    OwnershipNews takeReply(CallId call, const StoreReply& reply, absl::Time now);
    // Loses the ownership if its lease may have lapsed.
    OwnershipNews checkLease(absl::Time now);

    // Another owner has shown itself.
    OwnershipNews lose(absl::string_view reason, absl::Time now);
    // Gives the ownership up, so that another node takes it at once, and never takes it again.
    void resign(Outbox& outbox);
    bool hasResigned() const { return m_isResigning && m_call == 0 && !m_isOwner; }

    bool isOwner() const { return m_isOwner; }
    Epoch epoch() const { return m_epoch; }
    // What every write of this owner expects.
    ExpectedRevision expectation() const { return { { Collection::Epoch, "" }, m_epochRevision }; }

private:
    // What the call that is out is about.
    enum class Step {
        None,
        Granting,
        Claiming,
        Renewing,
        Ending,
    };

    void takeRecords(const CollectionNews& news, absl::Time now);
    void noteHolder(const Record& record, absl::Time now);
    OwnershipNews takeGrant(const StoreReply& reply, absl::Time now);
    OwnershipNews takeClaim(const StoreReply& reply, absl::Time now);
    OwnershipNews takeRenewal(const StoreReply& reply, absl::Time now);
    OwnershipNews becomeOwner(Revision epochRevision);
    OwnershipNews adoptOwnRecord(absl::Time now);
    void startStep(Step step, StoreRequest request, Outbox& outbox, absl::Time now);
    void claim(Outbox& outbox, absl::Time now);
    void setBack(absl::Time now);
    absl::Time leaseEnd() const;

    absl::Duration claimPause();

    const NodeName m_self;
    const absl::Duration m_claimDelay;
    RandomSource& m_random;
    CollectionFollower m_follower;
    bool m_isKnown = false;
    absl::optional<HolderRecord> m_holder;
    Epoch m_knownEpoch = 0;
    Revision m_knownEpochRevision = 0;

    Step m_step = Step::None;
    CallId m_call = 0;
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_nextTryAt = absl::InfinitePast();
    std::int64_t m_lease = 0;
    // Of an ownership that was lost. A renewal that was held up may keep it alive in the store, and others waiting.
    std::int64_t m_lostLease = 0;
    // When the call was sent that last confirmed the lease.
    absl::Time m_leaseConfirmedAt = absl::InfinitePast();
    bool m_isOwner = false;
    bool m_isResigning = false;
    Epoch m_epoch = 0;
    Revision m_epochRevision = 0;
};

} // namespace mangohall::batch
