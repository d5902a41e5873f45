// Reads declared resources from the system, and writes them so that a lost answer does not leave the outcome unknown.
#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"
#include "programs/ctl/command_base.h"
#include "programs/ctl/declaration_type.h"

namespace mangohall {

// Resources in the system, limited to the kinds that are declared.
struct CurrentState {
    std::vector<CurrentObject> objects;
    // Reply to the request that failed; set if `isComplete` is false.
    EntryReply failure;
    // True if every kind was listed successfully.
    bool isComplete = false;
};

// Returns the URL path that lists the declarations of a kind.
std::string listPath(absl::string_view kind);

// Lists the resources of every kind that occurs in the declarations. Stops at the first request that fails.
CurrentState readCurrentState(const CommandContext& context, absl::Span<const Declaration> declared);

// Writes the step's spec. If the outcome of the write is unknown, the resource is read back: the change has taken
// effect if the resource carries its change id.
EntryReply writeStep(const CommandContext& context, const PlanStep& step);

} // namespace mangohall
