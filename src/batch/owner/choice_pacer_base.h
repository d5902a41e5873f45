#pragma once

#include "absl/time/time.h"

namespace mangohall::batch {

// Says when the next choice may begin, so that choices take a bounded share of the owner's time, whatever they cost:
// what they have taken is measured, and an allowance that grows with time pays for it. Not safe to call from several
// threads.
class ChoicePacer {
public:
    // Notes a choice, on the clock that `mayBeginAt` is asked on.
    void noteChoice(absl::Time begun, absl::Time ended);

    absl::Time mayBeginAt() const { return m_mayBeginAt; }

private:
    // Time that choices may take at once.
    absl::Duration m_allowance = longestBurst;
    absl::Time m_refilledAt = absl::InfinitePast();
    absl::Time m_mayBeginAt = absl::InfinitePast();

    static constexpr absl::Duration longestBurst = absl::Milliseconds(100);
};

} // namespace mangohall::batch
