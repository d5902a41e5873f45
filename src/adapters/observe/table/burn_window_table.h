// The pairs of windows over which burn rates are measured.
#pragma once

#include "absl/time/time.h"

namespace mangohall {

// An alert condition. It holds if the burn rates over both windows reach the threshold: the long window shows that the
// errors are significant, the short one that they continue. A rate of 1 consumes the whole error budget in
// `budgetPeriod`.
struct BurnWindowRow {
    absl::Duration shortWindow;
    absl::Duration longWindow;
    // The burn rate from which the condition holds.
    double threshold;
};

inline constexpr BurnWindowRow burnWindowTable[] = {
    { absl::Minutes(5), absl::Hours(1), 14.4 },
    { absl::Minutes(30), absl::Hours(6), 6.0 },
    { absl::Hours(6), absl::Hours(72), 1.0 },
};

// The period of an error budget.
inline constexpr absl::Duration budgetPeriod = absl::Hours(30 * 24);

} // namespace mangohall
