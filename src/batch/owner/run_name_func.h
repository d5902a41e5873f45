// The names of runs, of their ends and of the reasons for decisions in logs.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "batch/job/job_type.h"
#include "batch/owner/run_hold_func.h"
#include "batch/owner/stop_reason_type.h"
#include "batch/policy/allocation_type.h"
#include "batch/worker/worker_session_base.h"

namespace mangohall::batch {

// The name of a run within its job: "OCCURRENCE.STEP.INDEX#ATTEMPT".
std::string runName(const RunKey& run);
// The name of the way in which a run ended.
absl::string_view runEndName(RunEnd end);
// The name of the evidence for an end that the worker has not listed; empty for a listed end.
absl::string_view endEvidenceName(EndEvidence evidence);
// The name of the stage that a run on a worker is in.
absl::string_view runStageName(RunSlot::Stage stage);
// The name of the reason for a stop.
absl::string_view stopReasonName(StopReason reason);
// The name of the reason why a placed run holds up its job.
absl::string_view runHoldName(RunHold hold);
// The name of the reason why a step is not placed.
absl::string_view holdReasonName(HoldReason reason);

} // namespace mangohall::batch
