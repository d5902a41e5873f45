#include "absl/strings/str_cat.h"
#include "core/backoff_func.h"
#include "core/error_func.h"
#include "core/time_const.h"
#include "membership/member_registration_base.h"
#include "membership/membership_func.h"

namespace mangohall {

namespace {

// Bounds of the delay before a failed store call is repeated.
constexpr absl::Duration firstRetry = absl::Milliseconds(100);
constexpr absl::Duration maxRetry = absl::Seconds(2);

} // namespace

MemberRegistration::MemberRegistration(Member self, RandomSource& random, Outbox& outbox)
    : m_self(std::move(self))
    , m_random(random)
    , m_outbox(outbox)
{
}

void MemberRegistration::grantLease()
{
    m_step = Step::GrantingLease;
    m_wakeAt = absl::InfiniteFuture();
    m_call = m_outbox.toStore(StoreGrantLease { memberLease });
}

void MemberRegistration::write()
{
    m_step = Step::Writing;
    m_isWriteDue = false;
    m_wakeAt = absl::InfiniteFuture();
    m_call = m_outbox.toStore(StoreCompareAndSwap { memberKey(m_self.node), m_recordRevision, m_self, m_lease });
}

void MemberRegistration::markLeaving(absl::Time now)
{
    m_self.isLeaving = true;
    m_isWriteDue = true;
    if (m_call == 0)
        wake(now);
}

void MemberRegistration::unregister()
{
    m_step = Step::Finished;
    m_wakeAt = absl::InfiniteFuture();
    if (m_lease != 0)
        m_outbox.toStore(StoreRevokeLease { m_lease });
    m_call = 0;
}

void MemberRegistration::handleStoreReply(const StoreReply& reply, absl::Time now)
{
    m_call = 0;
    switch (m_step) {
    case Step::GrantingLease:
        handleGrantReply(reply, now);
        break;
    case Step::Writing:
        handleWriteReply(reply, now);
        break;
    case Step::Renewing:
        handleRenewReply(reply, now);
        break;
    case Step::Idle:
    case Step::Finished:
        break;
    }
}

void MemberRegistration::scheduleRetry(absl::Time now)
{
    m_wakeAt = now + fullJitter(firstRetry, maxRetry, m_failures++, m_random);
}

void MemberRegistration::handleGrantReply(const StoreReply& reply, absl::Time now)
{
    if (!reply.status.ok()) {
        scheduleRetry(now);
        return;
    }
    m_lease = reply.lease;
    write();
}

void MemberRegistration::handleWriteReply(const StoreReply& reply, absl::Time now)
{
    if (reply.status.ok()) {
        m_failures = 0;
        m_recordRevision = reply.revision;
        m_step = Step::Renewing;
        m_wakeAt = m_isWriteDue ? now : now + memberRenewPeriod;
        return;
    }
    if (errorKindOf(reply.status) == ErrorKind::RevisionConflict) {
        // The key holds the record of an earlier process, or a write of this process whose reply was lost.
        m_recordRevision = reply.entries.empty() ? 0 : reply.entries.front().modRevision;
        write();
        return;
    }
    if (errorKindOf(reply.status) == ErrorKind::NotFound) {
        // The lease lapsed before the record was written.
        grantLease();
        return;
    }
    scheduleRetry(now);
}

void MemberRegistration::handleRenewReply(const StoreReply& reply, absl::Time now)
{
    if (reply.status.ok()) {
        m_failures = 0;
        m_wakeAt = m_isWriteDue ? now : now + memberRenewPeriod;
        return;
    }
    if (errorKindOf(reply.status) == ErrorKind::NotFound) {
        // The lease has lapsed and the record has been deleted with it.
        m_recordRevision = 0;
        grantLease();
        return;
    }
    scheduleRetry(now);
}

void MemberRegistration::wake(absl::Time now)
{
    const bool isDue = m_wakeAt <= now || (m_isWriteDue && m_step == Step::Renewing);
    if (m_call != 0 || !isDue || m_step == Step::Finished)
        return;
    if (m_step == Step::GrantingLease) {
        grantLease();
        return;
    }
    if (m_step == Step::Writing || m_isWriteDue) {
        write();
        return;
    }
    m_wakeAt = absl::InfiniteFuture();
    m_call = m_outbox.toStore(StoreKeepLeaseAlive { m_lease });
}

} // namespace mangohall
