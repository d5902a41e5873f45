// Counts the workers that get no new runs.
#pragma once

#include <string>

#include "absl/time/time.h"
#include "batch/owner/worker_registry_base.h"

namespace mangohall::batch {

// How many listed workers get no new runs now, and why, for logs; empty if all do.
std::string describeUnavailable(const WorkerRegistry& workers, absl::Time now);

} // namespace mangohall::batch
