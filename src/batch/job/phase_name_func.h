// The names of job phases in records, logs and answers.
#pragma once

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// The name of the phase; empty for a value outside the enumeration.
absl::string_view phaseName(JobPhase phase);
// The phase with this name, or nothing if there is none.
absl::optional<JobPhase> phaseFromName(absl::string_view name);

} // namespace mangohall::batch
