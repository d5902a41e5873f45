#pragma once

#include <functional>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "worker/worker_type.h"

namespace mangohall {

// Makes calls to workers.
class WorkerPort {
public:
    using Done = std::function<void(absl::StatusOr<WorkerReport>)>;

    virtual ~WorkerPort() = default;

    // Starts a call to the worker at the address "ip:port" and returns at once. `done` is called once, from any thread,
    // at the latest when the call has timed out. After an error the call may or may not have taken effect.
    virtual void call(const WorkerName& worker, absl::string_view address, const WorkerCall& request, Done done) = 0;
};

} // namespace mangohall
