// JSON encoding of jobs, as callers send and read it.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "job/job_type.h"
#include "nlohmann/json.hpp"
#include "node/peer_message_type.h"

namespace mangohall {

// A caller's specification of a job. A payload that is not UTF-8 is written in base64 as payloadBase64.
nlohmann::json toJson(const JobSpec& spec);

// Reads a job spec. Fails with UnknownField or InvalidValue; the message starts with the path of the field, which
// `path` prefixes.
absl::StatusOr<JobSpec> jobSpecFromJson(const nlohmann::json& fields, absl::string_view path = "");

// The state of a job; results and outcome only once it has ended. If a result is not UTF-8, all results are written in
// base64 and resultsEncoding is "base64".
nlohmann::json toJson(const JobStatus& status);

// Whether the job has run. Unknown for a job that has not ended and was not refused.
Execution executionOf(const JobStatus& status);

} // namespace mangohall
