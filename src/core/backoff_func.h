// Delays before a failed operation is repeated.
#pragma once

#include <algorithm>

#include "absl/time/time.h"
#include "ports/random_port.h"

namespace mangohall {

// The largest delay after the given number of failures: `first`, doubled for each failure, but at most `limit`.
inline absl::Duration backoffCeiling(absl::Duration first, absl::Duration limit, int failures)
{
    constexpr int maxDoublings = 16;
    const int doublings = std::clamp(failures, 0, maxDoublings);
    return std::min(first * (1 << doublings), limit);
}

// A delay with full jitter: uniformly distributed from zero to the ceiling, so that many senders do not retry at once.
inline absl::Duration fullJitter(absl::Duration first, absl::Duration limit, int failures, RandomSource& random)
{
    return backoffCeiling(first, limit, failures) * random.uniform();
}

} // namespace mangohall
