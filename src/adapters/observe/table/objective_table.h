// The service-level objectives of the burn report.
#pragma once

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "core/time_const.h"
#include "node/event_type.h"

namespace mangohall {

// Starting an urgent job may include a reclaim, so a reclaim has the same bound.
inline constexpr absl::Duration reclaimBound = urgentStartBound;

// One objective: the fraction `target` of the observations of the kind has to meet it. An observation meets it if its
// `isWithinObjective` is set and it took no longer than `bound`; an infinite bound leaves the decision to the former.
struct ObjectiveRow {
    absl::string_view name;
    ObservationEffect::Kind kind;
    double target;
    absl::Duration bound;
};

inline constexpr ObjectiveRow objectiveTable[] = {
    { "deadlineMet", ObservationEffect::Kind::JobEnded, 0.999, absl::InfiniteDuration() },
    { "urgentStart", ObservationEffect::Kind::UrgentStart, 0.999, urgentStartBound },
    { "reclaim", ObservationEffect::Kind::Reclaim, 0.999, reclaimBound },
    { "configInForce", ObservationEffect::Kind::ConfigInForce, 0.999, configInForceBound },
};

} // namespace mangohall
