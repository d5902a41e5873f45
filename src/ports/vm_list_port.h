#pragma once

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "worker/worker_type.h"

namespace mangohall {

// Reads the platform's list of live and leaving VMs, which lags behind the actual state.
class VmListPort {
public:
    using Done = std::function<void(absl::StatusOr<std::vector<VmEntry>>)>;

    virtual ~VmListPort() = default;

    // Reads the VMs of a data centre, or of all data centres if the name is empty. Returns at once; `done` is called
    // once, from any thread.
    virtual void read(const DataCentreName& dataCentre, Done done) = 0;
};

} // namespace mangohall
