// Conversion of the VM list to and from JSON: {"vms": [{"worker", "address", "region", "dataCentre", "rack",
// "cpuMillis", "memoryBytes", "accelerators", "isLeaving"}]}.
#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "nlohmann/json.hpp"
#include "worker/worker_type.h"

namespace mangohall {

nlohmann::json vmListToJson(absl::Span<const VmEntry> vms);

// Parses a VM list. Unknown fields are ignored, because the platform defines the list and may extend it. MalformedBody
// if the text is not JSON, InvalidValue with the path of a missing or invalid field.
absl::StatusOr<std::vector<VmEntry>> vmListFromJson(absl::string_view text);

} // namespace mangohall
