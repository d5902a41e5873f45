// Names of a job's phases, in records, logs and answers.
#pragma once

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

absl::string_view phaseName(JobPhase phase);
// The phase of that name, or nothing.
absl::optional<JobPhase> phaseOfName(absl::string_view name);

} // namespace mangohall::batch
