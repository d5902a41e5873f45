#include "batch/owner/ownership_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/owner/ownership_request_base.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration leaseTime = absl::Milliseconds(2200);
constexpr absl::Duration renewPeriod = absl::Milliseconds(600);
// An owner gives up this long before its lease ends, since a timer may fire late.
constexpr absl::Duration leaseMargin = absl::Milliseconds(150);
constexpr absl::Duration callTimeout = absl::Milliseconds(900);
constexpr absl::Duration holderWatchWait = absl::Milliseconds(3000);
// A random delay up to this spreads the claims of nodes that would all claim at the same time.
constexpr absl::Duration claimSpread = absl::Milliseconds(120);
// A node waits this many times as long as its lease took to be granted before it claims, so that nodes near the store
// claim first, but no longer than this.
constexpr double claimDelayPerGrantTime = 10;
constexpr absl::Duration longestGrantDelay = absl::Milliseconds(400);
// A node that has asked for the ownership claims it so much earlier than others.
constexpr absl::Duration candidateHeadStart = absl::Milliseconds(500);
// How long a node that has given up the ownership for another one leaves it to others.
constexpr absl::Duration yieldPause = absl::Seconds(3);
// Delay before a failed call is repeated, or before the next claim after a failed one.
constexpr absl::Duration retryPeriod = absl::Milliseconds(250);

} // namespace

Ownership::Ownership(NodeName self, absl::Duration claimDelay, double processorShare, RandomSource& random)
    : m_self(std::move(self))
    , m_claimDelay(claimDelay)
    , m_processorShare(processorShare)
    , m_random(random)
    , m_follower(Collection::Holder, holderWatchWait)
{
}

absl::Duration Ownership::nextClaimDelay()
{
    if (isCandidate())
        return absl::ZeroDuration();
    const absl::Duration headStart = m_candidate ? candidateHeadStart : absl::ZeroDuration();
    return m_claimDelay + headStart + claimSpread * m_random.uniform();
}

absl::Time Ownership::leaseEnd() const
{
    return m_leaseConfirmedAt + leaseTime - leaseMargin;
}

void Ownership::advance(Outbox& outbox, absl::Time now)
{
    if (m_isResigning)
        return;
    m_follower.advance(outbox, now);
    if (m_call == 0 && m_leaseToRevoke != 0) {
        sendStep(Step::Revoking, RevokeLease { std::exchange(m_leaseToRevoke, 0) }, outbox, now);
        return;
    }
    if (m_call != 0 || now < m_nextTryAt || !m_isHolderKnown || (!m_isOwner && now < m_mayClaimAt))
        return;
    if (m_isOwner)
        sendStep(Step::Renewing, RenewLease { m_lease }, outbox, now);
    else if (!m_holder && m_lease == 0)
        sendStep(Step::Granting, GrantLease { leaseTime }, outbox, now);
    else if (!m_holder)
        claim(outbox, now);
}

absl::Time Ownership::nextDue() const
{
    if (m_isResigning)
        return absl::InfiniteFuture();
    absl::Time due = m_follower.nextDue();
    if (m_isOwner)
        due = std::min(due, leaseEnd());
    if (m_call == 0 && m_isHolderKnown && (m_isOwner || !m_holder))
        due = std::min(due, m_isOwner ? m_nextTryAt : std::max(m_nextTryAt, m_mayClaimAt));
    return due;
}

void Ownership::sendStep(Step step, StoreRequest request, Outbox& outbox, absl::Time now)
{
    m_step = step;
    m_sentAt = now;
    m_call = outbox.toStore(std::move(request), callTimeout);
}

void Ownership::claim(Outbox& outbox, absl::Time now)
{
    // The record of an earlier claim under another lease must not be taken for that of this claim.
    const Epoch unusedEpoch = m_lease == m_claimLease ? m_epoch : m_epoch + 1;
    m_epoch = std::max(m_knownEpoch + 1, unusedEpoch);
    const RecordKey holder { Collection::Holder, "" };
    const RecordKey epoch { Collection::Epoch, "" };
    CommitRecords commit;
    commit.expected = { { holder, 0 }, { epoch, m_knownEpochRevision } };
    commit.writes = { { holder, HolderRecord { m_self, m_epoch, m_processorShare }, m_lease },
        { epoch, EpochRecord { m_epoch, m_self }, 0 } };
    m_claimLease = m_lease;
    sendStep(Step::Claiming, std::move(commit), outbox, now);
}

OwnershipUpdate Ownership::handleReply(CallId call, const StoreReply& reply, absl::Time now)
{
    if (m_follower.ownsCall(call)) {
        applyRecords(m_follower.handleReply(reply, now), now);
        if (m_isOwner && !namesThisClaim(m_holder))
            return lose("the store no longer names this node as the holder", now);
        return adoptOwnRecord(now);
    }
    m_call = 0;
    switch (std::exchange(m_step, Step::None)) {
    case Step::Granting:
        return handleGrantReply(reply, now);
    case Step::Claiming:
        return handleClaimReply(reply, now);
    case Step::Renewing:
        return handleRenewalReply(reply, now);
    case Step::Revoking:
    case Step::None:
        break;
    }
    return {};
}

void Ownership::applyRecords(const CollectionUpdate& update, absl::Time now)
{
    const bool mayBeVacant = update.isComplete && (m_holder || !m_isHolderKnown);
    if (update.isComplete) {
        m_isHolderKnown = true;
        m_holder = absl::nullopt;
        m_candidate = absl::nullopt;
    }
    for (const Record& record : update.records) {
        if (record.key.collection == Collection::Candidate)
            applyCandidate(record);
    }
    if (mayBeVacant)
        m_nextTryAt = now + nextClaimDelay();
    for (const Record& record : update.records) {
        if (record.key.collection == Collection::Holder) {
            applyHolder(record, now);
            continue;
        }
        if (record.key.collection == Collection::Candidate)
            continue;
        m_knownEpochRevision = std::max(m_knownEpochRevision, record.revision);
        if (const auto* epoch = std::get_if<EpochRecord>(&record.value))
            m_knownEpoch = std::max(m_knownEpoch, epoch->epoch);
    }
}

void Ownership::applyHolder(const Record& record, absl::Time now)
{
    const auto* holder = std::get_if<HolderRecord>(&record.value);
    if (holder != nullptr) {
        m_holder = *holder;
        return;
    }
    m_holder = absl::nullopt;
    if (!m_isOwner)
        m_nextTryAt = now + nextClaimDelay();
}

void Ownership::applyCandidate(const Record& record)
{
    const auto* candidate = std::get_if<CandidateRecord>(&record.value);
    m_candidate = candidate == nullptr ? absl::nullopt : absl::make_optional(*candidate);
}

bool Ownership::shouldYield() const
{
    return m_isOwner && m_candidate && m_candidate->ownerEpoch == m_epoch
        && shouldSucceed(m_candidate->processorShare, m_processorShare);
}

OwnershipUpdate Ownership::yield(absl::Time now)
{
    m_mayClaimAt = now + yieldPause;
    return lose("a node on a larger machine asks for it", now);
}

OwnershipUpdate Ownership::handleGrantReply(const StoreReply& reply, absl::Time now)
{
    if (!reply.status.ok()) {
        delayNextTry(now);
        return {};
    }
    m_lease = reply.lease;
    m_leaseConfirmedAt = m_sentAt;
    const absl::Duration delay = std::min((now - m_sentAt) * claimDelayPerGrantTime, longestGrantDelay);
    m_nextTryAt = now + (isCandidate() ? absl::ZeroDuration() : delay);
    return {};
}

OwnershipUpdate Ownership::handleClaimReply(const StoreReply& reply, absl::Time now)
{
    const ErrorKind kind = errorKindOf(reply.status);
    if (kind == ErrorKind::None)
        return becomeOwner(reply.revision, now);
    if (kind == ErrorKind::RevisionConflict) {
        for (const Record& record : reply.records) {
            if (record.key.collection == Collection::Holder)
                applyHolder(record, now);
            else if (const auto* epoch = std::get_if<EpochRecord>(&record.value)) {
                m_knownEpoch = epoch->epoch;
                m_knownEpochRevision = record.revision;
            }
        }
    }
    delayNextTry(now);
    return adoptOwnRecord(now);
}

bool Ownership::namesThisClaim(const absl::optional<HolderRecord>& holder) const
{
    return holder && holder->node == m_self && holder->epoch == m_epoch;
}

// A claim whose reply was lost may have been executed; then the holder's record names this node with the claim's epoch.
// The record is deleted with the lease of that claim, so the ownership is not kept with a later lease.
OwnershipUpdate Ownership::adoptOwnRecord(absl::Time now)
{
    const bool hasClaimLease = m_lease != 0 && m_lease == m_claimLease;
    if (m_isOwner || !namesThisClaim(m_holder) || !hasClaimLease || m_step == Step::Claiming || now >= leaseEnd())
        return {};
    if (m_knownEpoch != m_epoch)
        return {};
    return becomeOwner(m_knownEpochRevision, now);
}

OwnershipUpdate Ownership::becomeOwner(Revision epochRevision, absl::Time now)
{
    // A pending read may still show the records as they were before the claim.
    m_follower.startAfter(epochRevision, now);
    m_isOwner = true;
    m_epochRevision = epochRevision;
    m_knownEpoch = m_epoch;
    m_knownEpochRevision = epochRevision;
    m_holder = HolderRecord { m_self, m_epoch, m_processorShare };
    m_candidate = absl::nullopt;
    m_nextTryAt = m_leaseConfirmedAt + renewPeriod;
    OwnershipUpdate update;
    update.isTaken = true;
    update.reason = "no node held the ownership";
    return update;
}

OwnershipUpdate Ownership::handleRenewalReply(const StoreReply& reply, absl::Time now)
{
    if (!m_isOwner)
        return {};
    const ErrorKind kind = errorKindOf(reply.status);
    if (kind == ErrorKind::NotFound)
        return lose("the store no longer has the lease", now);
    if (kind == ErrorKind::None) {
        m_leaseConfirmedAt = std::max(m_leaseConfirmedAt, m_sentAt);
        m_nextTryAt = m_sentAt + renewPeriod;
    } else {
        m_nextTryAt = now + retryPeriod;
    }
    return {};
}

OwnershipUpdate Ownership::checkLease(absl::Time now)
{
    if (!m_isOwner || now < leaseEnd())
        return {};
    return lose(
        absl::StrCat("the lease was last renewed ", absl::ToInt64Milliseconds(now - m_leaseConfirmedAt), " ms ago"),
        now);
}

OwnershipUpdate Ownership::lose(absl::string_view reason, absl::Time now)
{
    if (!m_isOwner)
        return {};
    m_isOwner = false;
    m_leaseToRevoke = std::exchange(m_lease, 0);
    // The holder and the epoch are read again.
    m_holder = absl::nullopt;
    m_isHolderKnown = false;
    m_follower.stop();
    delayNextTry(now);
    OwnershipUpdate update;
    update.isLost = true;
    update.reason = std::string(reason);
    return update;
}

void Ownership::delayNextTry(absl::Time now)
{
    // A lease that may expire before the next claim is answered is not used for it.
    if (now + callTimeout >= leaseEnd())
        m_lease = 0;
    m_nextTryAt = now + retryPeriod + nextClaimDelay();
}

void Ownership::resign(Outbox& outbox)
{
    m_isResigning = true;
    m_follower.stop();
    if (!m_isOwner)
        return;
    m_isOwner = false;
    m_step = Step::Revoking;
    m_call = outbox.toStore(RevokeLease { m_lease }, callTimeout);
}

} // namespace mangohall::batch
