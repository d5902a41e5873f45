#include <algorithm>

#include "core/backoff_func.h"
#include "core/error_func.h"
#include "membership/membership_func.h"
#include "membership/shard_claim_base.h"

namespace mangohall {

namespace {

// How long another node has to be preferred before a shard is handed over to it.
constexpr absl::Duration handoverDelay = absl::Seconds(5);
// How long an owner whose member record is gone may take to register again, for example after a store outage in which
// every lease has lapsed. Claims start at a random time in the second half of it, so that not all nodes write to the
// store at once.
constexpr absl::Duration vanishedOwnerGracePeriod = absl::Seconds(4);
// Bounds of the delay before a failed store call is repeated.
constexpr absl::Duration firstRetry = absl::Milliseconds(100);
constexpr absl::Duration maxRetry = absl::Seconds(2);

} // namespace

ShardClaim::ShardClaim(ShardName shard, NodeName self, RandomSource& random, Outbox& outbox)
    : m_shard(std::move(shard))
    , m_self(std::move(self))
    , m_random(random)
    , m_outbox(outbox)
{
}

void ShardClaim::reconcile(const Directory& directory, bool isLeaving, absl::Time now)
{
    const auto present = directory.owners.find(m_shard);
    if (present != directory.owners.end() && present->second.modRevision > m_latestOwner.modRevision)
        m_latestOwner = present->second;
    switch (m_state) {
    case ClaimState::NotOwned:
        reconcileNotOwned(directory, isLeaving, now);
        break;
    case ClaimState::Owned:
    case ClaimState::HandingOver:
        reconcileOwned(directory, isLeaving, now);
        break;
    case ClaimState::Releasing:
        if (m_call == 0 && m_wakeAt <= now)
            release();
        break;
    case ClaimState::Claiming:
        break;
    }
}

void ShardClaim::reconcileNotOwned(const Directory& directory, bool isLeaving, absl::Time now)
{
    const bool isBackingOff = m_wakeAt != absl::InfiniteFuture() && m_wakeAt > now;
    if (isBackingOff)
        return;
    m_wakeAt = absl::InfiniteFuture();
    const NodeName& owner = m_latestOwner.record.node;
    const bool isOwnerGone = !owner.empty() && owner != m_self && !directory.members.contains(owner);
    const bool isPreferred = !isLeaving && preferredOwner(directory, m_shard) == m_self;
    const bool isStaleOwner = owner == m_self && !isPreferred;
    if (isStaleOwner) {
        // An own claim took effect although its reply was lost, and another node should own the shard. No other node
        // may claim the shard from a live member, so this node releases it.
        m_epoch = m_latestOwner.record.epoch;
        m_recordRevision = m_latestOwner.modRevision;
        release();
        return;
    }
    if (!isOwnerGone || !isPreferred)
        m_claimAt = absl::InfinitePast();
    const bool isFree = owner.empty() || owner == m_self || isOwnerGone;
    if (!isFree || !isPreferred)
        return;
    if (isOwnerGone && m_claimAt == absl::InfinitePast())
        m_claimAt = now + vanishedOwnerGracePeriod * (0.5 + 0.5 * m_random.uniform());
    if (m_claimAt > now) {
        m_wakeAt = m_claimAt;
        return;
    }
    m_claimAt = absl::InfinitePast();
    claim(m_latestOwner);
}

void ShardClaim::claim(const ShardOwner& present)
{
    m_state = ClaimState::Claiming;
    m_epoch = present.record.epoch + 1;
    m_recordRevision = present.modRevision;
    m_call = m_outbox.toStore(
        StoreCompareAndSwap { ownerKey(m_shard), present.modRevision, OwnerRecord { m_shard, m_self, m_epoch }, 0 });
}

void ShardClaim::reconcileOwned(const Directory& directory, bool isLeaving, absl::Time now)
{
    if (m_latestOwner.record.epoch > m_epoch) {
        markDeposed(now);
        return;
    }
    const NodeName preferred = preferredOwner(directory, m_shard);
    const bool isPreferred = preferred == m_self || preferred.empty();
    m_wakeAt = absl::InfiniteFuture();
    if (isPreferred && !isLeaving) {
        m_unpreferredSince = absl::InfiniteFuture();
        m_state = ClaimState::Owned;
        return;
    }
    m_unpreferredSince = std::min(m_unpreferredSince, now);
    const absl::Time handoverAt = isLeaving ? now : m_unpreferredSince + handoverDelay;
    if (handoverAt <= now)
        m_state = ClaimState::HandingOver;
    else
        m_wakeAt = handoverAt;
}

void ShardClaim::release()
{
    m_state = ClaimState::Releasing;
    m_wakeAt = absl::InfiniteFuture();
    m_call = m_outbox.toStore(
        StoreCompareAndSwap { ownerKey(m_shard), m_recordRevision, OwnerRecord { m_shard, NodeName(), m_epoch }, 0 });
}

void ShardClaim::markDeposed(absl::Time now)
{
    m_state = ClaimState::NotOwned;
    m_unpreferredSince = absl::InfiniteFuture();
    // By then the directory should show the new owner's record.
    m_wakeAt = now + firstRetry;
}

void ShardClaim::handleStoreReply(const StoreReply& reply, absl::Time now)
{
    m_call = 0;
    if (m_state == ClaimState::Claiming)
        handleClaimReply(reply, now);
    else if (m_state == ClaimState::Releasing)
        handleReleaseReply(reply, now);
}

void ShardClaim::handleClaimReply(const StoreReply& reply, absl::Time now)
{
    if (reply.status.ok()) {
        m_state = ClaimState::Owned;
        m_failures = 0;
        m_recordRevision = reply.revision;
        m_latestOwner = { OwnerRecord { m_shard, m_self, m_epoch }, reply.revision };
        return;
    }
    m_state = ClaimState::NotOwned;
    if (!reply.entries.empty()) {
        const auto* present = std::get_if<OwnerRecord>(&reply.entries.front().value);
        if (present != nullptr && reply.entries.front().modRevision > m_latestOwner.modRevision)
            m_latestOwner = { *present, reply.entries.front().modRevision };
    }
    // If the write took effect and its reply was lost, the record names this node and the shard is claimed again.
    m_wakeAt = now + firstRetry + fullJitter(firstRetry, maxRetry, m_failures++, m_random);
}

void ShardClaim::handleReleaseReply(const StoreReply& reply, absl::Time now)
{
    const bool mayHaveTakenEffect = !reply.status.ok() && errorKindOf(reply.status) != ErrorKind::RevisionConflict;
    if (mayHaveTakenEffect) {
        // The write may have taken effect. It is repeated until it succeeds or a conflict shows that it did.
        m_wakeAt = now + fullJitter(firstRetry, maxRetry, m_failures++, m_random);
        return;
    }
    m_state = ClaimState::NotOwned;
    m_unpreferredSince = absl::InfiniteFuture();
    if (reply.status.ok())
        m_latestOwner = { OwnerRecord { m_shard, NodeName(), m_epoch }, reply.revision };
    m_wakeAt = now + firstRetry;
}

} // namespace mangohall
