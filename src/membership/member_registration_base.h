// Keeps the node's own member record alive in the store.
#pragma once

#include "absl/time/time.h"
#include "membership/membership_type.h"
#include "node/outbox_base.h"
#include "ports/random_port.h"

namespace mangohall {

// Obtains a lease, writes the member record under it and renews the lease. A lapsed lease is replaced by a new one.
class MemberRegistration {
public:
    MemberRegistration(Member self, RandomSource& random, Outbox& outbox);

    void start() { grantLease(); }
    // Writes the record again, marked as leaving.
    void markLeaving(absl::Time now);
    // Revokes the lease, which deletes the record. Nothing is sent afterwards.
    void unregister();

    // Whether the registration made the store call.
    bool ownsCall(CallId call) const { return call != 0 && call == m_call; }
    // Handles the reply to a store call of the registration.
    void handleStoreReply(const StoreReply& reply, absl::Time now);

    // Renews the lease or repeats a failed call if it is due.
    void wake(absl::Time now);
    // When `wake` has to be called next; infinite if nothing is due.
    absl::Time nextWake() const { return m_wakeAt; }
    // Whether the record has been written under the present lease.
    bool isRegistered() const { return m_step == Step::Renewing; }
    const Member& self() const { return m_self; }

private:
    enum class Step {
        Idle,
        GrantingLease,
        Writing,
        Renewing,
        Finished,
    };

    void grantLease();
    void write();
    // Schedules the repetition of a failed call, with a delay that grows with each failure.
    void scheduleRetry(absl::Time now);
    void handleGrantReply(const StoreReply& reply, absl::Time now);
    void handleWriteReply(const StoreReply& reply, absl::Time now);
    void handleRenewReply(const StoreReply& reply, absl::Time now);

    Member m_self;
    RandomSource& m_random;
    Outbox& m_outbox;
    Step m_step = Step::Idle;
    // The record has changed and must be written again.
    bool m_isWriteDue = false;
    // The pending store call; 0 if there is none.
    CallId m_call = 0;
    // The id of the lease in the store; 0 before the first lease.
    std::int64_t m_lease = 0;
    // The store revision of the record; 0 if it does not exist.
    Revision m_recordRevision = 0;
    // Consecutive failed calls.
    int m_failures = 0;
    absl::Time m_wakeAt = absl::InfiniteFuture();
};

} // namespace mangohall
