// Renders a session as text, for the comparison with a golden file.
#pragma once

#include <string>

#include "fuzz/observed_history_type.h"

namespace mangohall {

// Lists what callers, operators and workers did and received since `start`, in order of time. Each line has the seconds
// since `start`, the actor and the event.
std::string recordOf(const ObservedHistory& observed, absl::Time start);

} // namespace mangohall
