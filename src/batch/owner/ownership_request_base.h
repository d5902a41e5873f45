#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/node/outbox_base.h"
#include "batch/store/record_type.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

// Whether a node with the first share of a processor should own the jobs in place of one with the second. It is false
// for a share that is unknown, and for nodes of about the same size, so that the ownership does not go back and forth.
bool shouldSucceed(double candidateShare, double ownerShare);

// Asks an owner on a much smaller machine for the ownership: keeps a record under a lease of its own in the store, as
// long as such an owner holds it. One node asks at a time. Not safe to call from several threads.
class OwnershipRequest {
public:
    OwnershipRequest(NodeName self, double processorShare, RandomSource& random);

    // Sends the calls that are due. `holder` and `candidate` are the records as last read.
    void advance(const absl::optional<HolderRecord>& holder, const absl::optional<CandidateRecord>& candidate,
        Outbox& outbox, absl::Time now);
    // When `advance` has something to do next, as of its last call.
    absl::Time nextDue() const { return m_call == 0 ? m_nextTryAt : absl::InfiniteFuture(); }
    // Ends the request for good, since the node shuts down.
    void stop() { m_isStopping = true; }
    // Asks for nothing until then.
    void pauseUntil(absl::Time until) { m_pausedUntil = until; }

    bool ownsCall(CallId call) const { return call != 0 && call == m_call; }
    void handleReply(const StoreReply& reply, absl::Time now);

private:
    // The purpose of the pending call.
    enum class Step {
        None,
        Granting,
        Writing,
        Renewing,
        Revoking,
    };

    bool isWanted(const absl::optional<HolderRecord>& holder) const;
    // Ends the request, or does nothing if there is none.
    void withdraw(Outbox& outbox, absl::Time now);
    void send(Step step, StoreRequest request, Outbox& outbox, absl::Time now);
    void forgetLease(absl::Time nextTryAt);

    const NodeName m_self;
    const double m_processorShare;
    RandomSource& m_random;
    Step m_step = Step::None;
    CallId m_call = 0;
    // The lease of the request's record; 0 if there is none.
    std::int64_t m_lease = 0;
    // The record is written.
    bool m_isWritten = false;
    bool m_isStopping = false;
    // The epoch of the owner that is asked; 0 if there is no reason to ask, as of the last `advance`.
    Epoch m_askedEpoch = 0;
    absl::Time m_nextTryAt = absl::InfiniteFuture();
    absl::Time m_pausedUntil = absl::InfinitePast();
};

} // namespace mangohall::batch
