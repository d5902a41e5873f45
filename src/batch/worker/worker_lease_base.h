// The aggregate of a worker's clock, and of the lease that the owner grants to its process.
#pragma once

#include "absl/time/time.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// A worker's clock may be slow by less than this share, so that its lease lasts longer on the owner's clock.
inline constexpr double maxClockDrift = 0.025;
// Added to the latest end of a worker's lease, on top of the clock drift.
inline constexpr absl::Duration leaseMargin = absl::Milliseconds(300);

// What the owner knows of the clock of a worker's process, and until when, on the owner's own clock, the leases that it
// has granted there may keep a run going. Not safe to call from several threads.
class WorkerLease {
public:
    // Each grant lasts so long on the worker's clock. Earlier owners may have granted leases that end by `bound`.
    WorkerLease(absl::Duration granted, absl::Time bound)
        : m_granted(granted)
        , m_bound(bound)
    {
    }

    // Records the worker's clock in a reply that is received now.
    void recordClock(WorkerMillis clock, absl::Time now);
    // Forgets the clock, as another process may have replaced the one that it belongs to.
    void forgetClock();
    bool isClockKnown() const { return m_clockReadAt != absl::InfinitePast(); }
    // Whether the clock in a reply differs so much from the expected one that another process may have sent the reply.
    bool isClockUnexpected(WorkerMillis clock, absl::Time now) const;

    // Grants a lease by a command that is sent now. Returns its end on the worker's clock, or 0 without granting any if
    // that clock is unknown.
    WorkerMillis grant(absl::Time now);
    // Records that an earlier owner may have granted a lease that ends by this time.
    void extendTo(absl::Time bound);
    // Until when the leases granted so far may keep a run going.
    absl::Time bound() const { return m_bound; }
    // When the last lease was granted; the infinite past if this owner has granted none.
    absl::Time grantedAt() const { return m_grantedAt; }

private:
    const absl::Duration m_granted;
    absl::Time m_bound;
    absl::Time m_grantedAt = absl::InfinitePast();
    // The worker's clock in its last reply, and when that reply was received.
    WorkerMillis m_clock = 0;
    absl::Time m_clockReadAt = absl::InfinitePast();
};

} // namespace mangohall::batch
