// Jobs as JSON, as callers send and read them.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "job/job_type.h"
#include "nlohmann/json.hpp"
#include "node/peer_message_type.h"

namespace mangohall {

// What a caller declares about a job. A payload that is not UTF-8 goes into payloadBase64.
nlohmann::json toJson(const JobSpec& spec);

// Reads a job spec. Errors: UnknownField, InvalidValue; the message has the path of the field, below `path`.
absl::StatusOr<JobSpec> jobSpecFromJson(const nlohmann::json& fields, absl::string_view path = "");

// The state of a job. Results that are not all UTF-8 are given in base64, and resultsEncoding says so.
nlohmann::json toJson(const JobStatus& status);

// Whether the job of this status ran, as far as it is known. A job that has not ended is Unknown.
Execution executionOf(const JobStatus& status);

} // namespace mangohall
