// Declared resources, and the plan that brings the system from its current to the declared resources.
#pragma once

#include <string>
#include <vector>

#include "configuration/configuration_type.h"

namespace mangohall {

// A resource as it is declared in a file.
struct Declaration {
    ConfigSpec spec;
    // Path of the file; in an array the index follows, for example "all.json[2]". Empty if there is no file.
    std::string file;
};

// A resource as the system stores it.
struct CurrentObject {
    ConfigSpec spec;
    Revision revision = 0;
};

// What a step of a plan does with its resource.
enum class PlanAction {
    Create,
    Change,
    Unchanged,
};

// The action for one declared resource.
struct PlanStep {
    PlanAction action = PlanAction::Unchanged;
    ConfigSpec spec;
    // Revision at which the resource was read; the write fails if it has changed since. 0 if the resource did not
    // exist.
    Revision currentRevision = 0;
    // Spec before the change; unused for Create.
    ConfigSpec currentSpec;
};

using Plan = std::vector<PlanStep>;

} // namespace mangohall
