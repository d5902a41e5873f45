// Names of runs and ends in logs.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// "OCCURRENCE.STEP.INDEX#ATTEMPT".
std::string runName(const RunKey& run);
absl::string_view runEndName(RunEnd end);

} // namespace mangohall::batch
