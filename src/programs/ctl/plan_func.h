// Computes and describes the changes between current and declared resources. Performs no I/O.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "programs/ctl/declaration_type.h"

namespace mangohall {

// Makes a plan with one step for each declaration. Steps are sorted by kind, so that a kind comes after the kinds it
// refers to, and by name within a kind. Resources that exist but are not declared are left alone.
Plan makePlan(absl::Span<const Declaration> declared, absl::Span<const CurrentObject> current);

// Returns whether any step of the plan changes a resource.
bool hasChanges(const Plan& plan);

// Returns the name of the action that describeStep() prints.
absl::string_view actionName(PlanAction action);

// Describes a step in one line, for example "create organisations/zagara".
std::string describeStep(const PlanStep& step);

// Lists the fields that a step sets or changes, one line for each.
std::string describeFields(const PlanStep& step);

} // namespace mangohall
