// Reads building files, which describe the workers of all data centres. Either every worker is named:
// {"regions": [{"name", "dataCentres": [{"name", "racks": [{"name", "workers": [{"name", "address", "cpuMillis",
// "memoryBytes", "accelerators"}]}]}]}]},
// or workers are generated from their numbers:
// {"generate": {"ip", "firstPort", "portStep", "workersPerRack", "cpuMillis", "memoryBytes", "accelerators",
// "dataCentres": [{"region", "name", "workers"}]}}.
#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "worker/worker_type.h"

namespace mangohall {

// Returns the VMs of the building. InvalidValue names the path of the wrong field. Generated workers of data centre
// "ct-a" are named "ct-a-w0000" and so on, in racks "ct-a-r000" and so on. The port of each worker is larger than that
// of the one before by portStep, which is 0 if one process simulates all of them.
absl::StatusOr<std::vector<VmEntry>> buildingFromJson(absl::string_view text);

} // namespace mangohall
