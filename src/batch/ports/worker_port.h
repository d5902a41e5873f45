#pragma once

#include <functional>

#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// The connection to the workers.
class WorkerPort {
public:
    using Done = std::function<void(WorkerReply)>;

    virtual ~WorkerPort() = default;

    // Starts a call and returns without waiting. `done` is called exactly once, from any thread, at the latest when the
    // call's timeout has passed.
    virtual void call(const WorkerCall& call, Done done) = 0;
};

} // namespace mangohall::batch
