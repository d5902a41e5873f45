#include "batch/owner/ownership_request_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// A change of owner costs a pause, so a somewhat larger machine is not worth it.
constexpr double leastShareRatio = 2;
// An owner with this share of a processor is large enough for any node.
constexpr double sufficientShare = 0.5;
constexpr absl::Duration leaseTime = absl::Milliseconds(2200);
constexpr absl::Duration renewPeriod = absl::Milliseconds(700);
constexpr absl::Duration callTimeout = absl::Milliseconds(900);
// A random delay up to this spreads the requests of nodes that learn of the owner at the same time.
constexpr absl::Duration requestSpread = absl::Milliseconds(150);
// How long a node waits behind another one that asks, or after a failed call.
constexpr absl::Duration retryPeriod = absl::Seconds(1);

} // namespace

bool shouldSucceed(double candidateShare, double ownerShare)
{
    return ownerShare > 0 && ownerShare < sufficientShare && candidateShare >= ownerShare * leastShareRatio;
}

OwnershipRequest::OwnershipRequest(NodeName self, double processorShare, RandomSource& random)
    : m_self(std::move(self))
    , m_processorShare(processorShare)
    , m_random(random)
{
}

bool OwnershipRequest::isWanted(const absl::optional<HolderRecord>& holder) const
{
    return !m_isStopping && holder && holder->node != m_self && shouldSucceed(m_processorShare, holder->processorShare);
}

void OwnershipRequest::advance(const absl::optional<HolderRecord>& holder,
    const absl::optional<CandidateRecord>& candidate, Outbox& outbox, absl::Time now)
{
    if (m_call != 0)
        return;
    // Without a holder the request stands until another node has become one, which is asked anew.
    const bool isStanding = !m_isStopping && (!holder || holder->epoch == m_askedEpoch);
    if (m_askedEpoch != 0 && !isStanding)
        withdraw(outbox, now);
    if (m_call != 0)
        return;
    if (m_askedEpoch == 0 && isWanted(holder) && now >= m_pausedUntil) {
        m_askedEpoch = holder->epoch;
        m_nextTryAt = now + requestSpread * m_random.uniform();
    }
    if (m_askedEpoch == 0 || now < m_nextTryAt)
        return;
    if (m_isWritten)
        send(Step::Renewing, RenewLease { m_lease }, outbox, now);
    else if (m_lease != 0)
        send(Step::Writing,
            CommitRecords { { { { Collection::Candidate, "" }, 0 } },
                { { { Collection::Candidate, "" }, CandidateRecord { m_self, m_processorShare, m_askedEpoch },
                    m_lease } },
                {} },
            outbox, now);
    else if (candidate)
        m_nextTryAt = now + retryPeriod;
    else
        send(Step::Granting, GrantLease { leaseTime }, outbox, now);
}

void OwnershipRequest::withdraw(Outbox& outbox, absl::Time now)
{
    m_askedEpoch = 0;
    m_nextTryAt = absl::InfiniteFuture();
    if (m_lease == 0)
        return;
    send(Step::Revoking, RevokeLease { m_lease }, outbox, now);
    forgetLease(absl::InfiniteFuture());
}

void OwnershipRequest::send(Step step, StoreRequest request, Outbox& outbox, absl::Time now)
{
    m_step = step;
    m_nextTryAt = now;
    m_call = outbox.toStore(std::move(request), callTimeout);
}

void OwnershipRequest::forgetLease(absl::Time nextTryAt)
{
    m_lease = 0;
    m_isWritten = false;
    m_nextTryAt = nextTryAt;
}

void OwnershipRequest::handleReply(const StoreReply& reply, absl::Time now)
{
    m_call = 0;
    const Step step = std::exchange(m_step, Step::None);
    if (step == Step::Revoking) {
        m_nextTryAt = absl::InfiniteFuture();
        return;
    }
    if (!reply.status.ok()) {
        // The lease ends by itself, with the record if that was written.
        forgetLease(now + retryPeriod);
        return;
    }
    if (step == Step::Granting)
        m_lease = reply.lease;
    else
        m_isWritten = true;
    m_nextTryAt = step == Step::Granting ? now : now + renewPeriod;
}

} // namespace mangohall::batch
