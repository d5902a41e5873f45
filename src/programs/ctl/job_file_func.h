// Parses files of jobs to submit.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace mangohall {

// A job to submit, after the checks that need no request.
struct JobFileEntry {
    // Key under which the job is submitted.
    std::string requestKey;
    // Organisation of the job; empty if the file does not name one.
    std::string organisation;
    // Job spec as JSON text.
    std::string spec;
};

// Parses a job {"key", "organisation", "spec"} or an array of them. If `key` is not empty, the text is the spec of a
// single job with that key. Fails with the path of the first invalid field.
absl::StatusOr<std::vector<JobFileEntry>> parseJobs(absl::string_view text, absl::string_view key);

} // namespace mangohall
