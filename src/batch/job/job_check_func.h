// Validation of job specifications and of stored progress.
#pragma once

#include "absl/status/status.h"
#include "batch/job/job_type.h"
#include "batch/job/progress_record_type.h"
#include "batch/job/record_limits_type.h"

namespace mangohall::batch {

// Returns InvalidValue if the specification breaks a rule that holds for every job. The message names the invalid step.
absl::Status checkSpec(const JobSpec& spec);

// Returns InvalidValue if a record of the job may outgrow the limits: the job itself, its progress once all its tasks
// are closed, or the tasks that have to be open together.
absl::Status checkRecordSizes(const JobSpec& spec, const RecordLimits& limits);

// Whether each occurrence in the progress has the steps and numbers of tasks of the specification.
bool matchesSpec(const JobSpec& spec, const ProgressRecord& record);

} // namespace mangohall::batch
