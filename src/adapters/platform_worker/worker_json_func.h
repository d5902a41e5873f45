// Conversion of calls to workers and of their reports to and from JSON:
// {"fence": {"shard", "epoch"}, "leaseMs", "command": {"startTask" | "releaseTask" | "checkpointTask" | "stopTask" |
// "heartbeat": {…}}} is answered by {"worker", "incarnation", "isFenced", "tasks": […]}.
#pragma once

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "worker/worker_type.h"

namespace mangohall {

nlohmann::json toJson(const WorkerCall& call);
nlohmann::json toJson(const WorkerReport& report);

// InvalidValue or UnknownField with the path of the field.
absl::StatusOr<WorkerCall> workerCallFromJson(const nlohmann::json& fields);
absl::StatusOr<WorkerReport> workerReportFromJson(const nlohmann::json& fields);

} // namespace mangohall
