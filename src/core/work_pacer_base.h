#pragma once

#include "absl/time/time.h"

namespace mangohall {

// Limits some work to a bounded share of its thread's time, however long each piece of the work takes. The time that
// the pieces take is measured and subtracted from an allowance that grows with time; a piece may begin while the
// allowance is not overdrawn. Not safe to call from several threads.
class WorkPacer {
public:
    // `shortestPause` is the minimum time between two pieces, so that one piece handles events that arrive together.
    explicit WorkPacer(absl::Duration shortestPause)
        : m_shortestPause(shortestPause)
    {
    }

    // Records a piece of work that has ended. The times are of the same clock as those of `mayBeginAt` and `mayBegin`.
    void recordWork(absl::Time begun, absl::Time ended);

    // The earliest time at which the next piece may begin.
    absl::Time mayBeginAt() const { return m_mayBeginAt; }
    // Whether the next piece may begin. Also true if the clock has been set back since the last piece.
    bool mayBegin(absl::Time now) const { return now >= m_mayBeginAt || now < m_refilledAt; }

private:
    // The maximum allowance, which pieces may use without a pause longer than the shortest.
    static constexpr absl::Duration longestBurst = absl::Milliseconds(100);

    const absl::Duration m_shortestPause;
    // The time that pieces may take at present; negative if they have taken more than their share.
    absl::Duration m_allowance = longestBurst;
    // When the allowance was last updated.
    absl::Time m_refilledAt = absl::InfinitePast();
    absl::Time m_mayBeginAt = absl::InfinitePast();
};

} // namespace mangohall
