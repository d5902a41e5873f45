// Free functions on job types.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "job/job_type.h"

namespace mangohall {

// Checks the fields of a job that a caller declared: the service is given, and the shape, sizes and times are within
// their ranges. Returns InvalidValue with the field's name.
absl::Status checkJobSpec(const JobSpec& spec);

// Checks a request key: 1 to 128 characters of A-Z a-z 0-9 . _ - only. Returns InvalidValue otherwise.
absl::Status checkRequestKey(absl::string_view requestKey);

// The number of accelerators of all tasks together.
std::int64_t totalAccelerators(const Shape& shape);

// An estimate of the record's size in the store, in bytes.
std::size_t recordBytes(const JobRecord& record);

// Whether the scheduler may stop the job while it runs, in order to reclaim its capacity for a guarantee.
bool isEvictable(const JobSpec& spec);

// The time by which the job has to be done, as its caller declared; infinite if there is no deadline.
absl::Time deadlineOf(const JobRecord& record);

// Formats a job key for logs and hashing as "organisation/requestKey".
std::string toText(const JobKey& key);

// Formats a task id for logs and keys as "organisation/requestKey#attempt.index".
std::string toText(const TaskId& id);

// The name of a phase as callers see it, for example "queued".
absl::string_view phaseName(JobPhase phase);

} // namespace mangohall
