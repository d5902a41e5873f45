// The jobs that the fuzz tests submit. The number of a job's key determines its body.
#pragma once

#include <string>

#include "job/job_type.h"

namespace mangohall {

// The number of distinct job keys.
inline constexpr int fuzzKeys = 32;

// Returns the job key with the number.
JobKey fuzzKey(int number);
// Returns the body of the job. Variant 0 is the usual one; any other is a different body under the same key.
JobSpec fuzzBody(int number, int variant);
// Returns the result of each task of the body.
std::string echoOf(const JobSpec& body);

} // namespace mangohall
