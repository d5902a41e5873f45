#pragma once

#include "absl/time/time.h"

namespace mangohall {

// Says when the next piece of some work may begin, so that the work takes a bounded share of its thread's time whatever
// it costs: what the pieces have taken is measured, and an allowance that grows with time pays for it. Not safe to call
// from several threads.
class WorkPacer {
public:
    // Even cheap pieces are so far apart, so that one of them serves events that come together.
    explicit WorkPacer(absl::Duration shortestPause)
        : m_shortestPause(shortestPause)
    {
    }

    // Notes a piece of work, on the clock that `mayBeginAt` is asked on.
    void note(absl::Time begun, absl::Time ended);

    absl::Time mayBeginAt() const { return m_mayBeginAt; }
    // Also true on a clock that has been set back since the last piece.
    bool mayBegin(absl::Time now) const { return now >= m_mayBeginAt || now < m_refilledAt; }

private:
    static constexpr absl::Duration longestBurst = absl::Milliseconds(100);

    const absl::Duration m_shortestPause;
    // Time that pieces may take at once.
    absl::Duration m_allowance = longestBurst;
    absl::Time m_refilledAt = absl::InfinitePast();
    absl::Time m_mayBeginAt = absl::InfinitePast();
};

} // namespace mangohall
