#pragma once

#include <algorithm>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/owner/run_hold_func.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// How long a job waits for its tasks to run, and why, as far as this owner has seen it. Not safe to call from several
// threads.
class JobWait {
public:
    // A job is to have something running within 3 s. That leaves a second for the next allocation round and the start.
    static constexpr absl::Duration longestIdleTime = absl::Seconds(2);

    // Records that a task of the job runs.
    void recordRunning()
    {
        m_idleSince = absl::InfiniteFuture();
        m_reason.reset();
    }
    // Records that none runs although one may start.
    void recordIdle(absl::Time now) { m_idleSince = std::min(m_idleSince, now); }
    // How long none has run although one may start; zero while one runs.
    absl::Duration idleTime(absl::Time now) const { return std::max(absl::ZeroDuration(), now - m_idleSince); }

    // Whether the job has been idle for so long that a task of it is to start wherever there is room, and none was
    // placed a moment ago that may start yet.
    bool isOverdue(absl::Time now) const
    {
        const bool mayBegin = m_isStarting && now - m_lastPlacementAt < longestStart;
        return now - m_idleSince >= longestIdleTime && !mayBegin;
    }

    // Whether to find out now why the tasks wait: if the job has been idle for a while, or waits under a guarantee that
    // is to be enforced, and at most at an interval.
    bool takeReasonDue(bool isGuaranteeEnforced, absl::Time now)
    {
        const bool isLong = isGuaranteeEnforced || now - m_idleSince >= unremarkableIdleTime;
        if (!isLong || now - m_reasonSoughtAt < reasonPeriod)
            return false;
        m_reasonSoughtAt = now;
        return true;
    }
    // Records why the tasks wait. Returns whether that differs from the last reason since a task has run.
    bool recordReason(HoldReason reason)
    {
        if (m_reason == reason)
            return false;
        m_reason = reason;
        return true;
    }

    // Records the placed run that the job waits for while nothing of it runs; none if it waits for no such run. Returns
    // whether that is to be logged: it has lasted for a while, and differs from what was logged last since the job
    // waits.
    bool recordHeldRun(const absl::optional<HeldRun>& held, absl::Time now)
    {
        if (!held) {
            m_heldSince = absl::InfiniteFuture();
            m_loggedHold.reset();
            return false;
        }
        m_heldSince = std::min(m_heldSince, now);
        const bool isLogged = m_loggedHold && isSameHold(*m_loggedHold, *held);
        if (isLogged || now - m_heldSince < unremarkableIdleTime)
            return false;
        m_loggedHold = held;
        return true;
    }
    // How long the job has waited for placed runs, as of the last review.
    absl::Duration heldTime(absl::Time now) const { return std::max(absl::ZeroDuration(), now - m_heldSince); }

    // Record when the owner has learned of the job, and when it made room for it, or placed a task of it.
    void recordAdded(absl::Time now) { m_addedAt = now; }
    void recordEviction(absl::Time now) { m_firstEvictionAt = std::min(m_firstEvictionAt, now); }
    void recordPlacement(absl::Time now)
    {
        m_lastPlacementAt = now;
        m_isStarting = true;
    }
    // Records that a placed task has ended without having run.
    void recordFailedStart() { m_isStarting = false; }
    // The infinite future for what has not happened.
    absl::Time addedAt() const { return m_addedAt; }
    absl::Time firstEvictionAt() const { return m_firstEvictionAt; }
    absl::Time lastPlacementAt() const { return m_lastPlacementAt; }

private:
    // The time from a placement until the worker has shown the run, unless the start has got lost.
    static constexpr absl::Duration longestStart = absl::Seconds(1);
    static constexpr absl::Duration unremarkableIdleTime = absl::Seconds(1);
    static constexpr absl::Duration reasonPeriod = absl::Milliseconds(500);

    absl::Time m_idleSince = absl::InfiniteFuture();
    absl::Time m_reasonSoughtAt = absl::InfinitePast();
    absl::optional<HoldReason> m_reason;
    absl::Time m_heldSince = absl::InfiniteFuture();
    absl::optional<HeldRun> m_loggedHold;
    absl::Time m_addedAt = absl::InfiniteFuture();
    absl::Time m_firstEvictionAt = absl::InfiniteFuture();
    absl::Time m_lastPlacementAt = absl::InfiniteFuture();
    // The last task that was placed has not ended without having run.
    bool m_isStarting = false;
};

} // namespace mangohall::batch
