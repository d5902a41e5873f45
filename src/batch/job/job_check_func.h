// Rules that every job has to keep.
#pragma once

#include "absl/status/status.h"
#include "batch/job/job_type.h"
#include "batch/job/progress_record_type.h"

namespace mangohall::batch {

// InvalidValue, with the step at fault, for a specification that no job may have.
absl::Status checkSpec(const JobSpec& spec);

// Whether the progress is one of a job with this specification.
bool isProgressOf(const JobSpec& spec, const ProgressRecord& record);

} // namespace mangohall::batch
