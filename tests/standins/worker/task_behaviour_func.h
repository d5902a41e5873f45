// The simulated behaviour of a task on a stand-in worker.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "worker/worker_type.h"

namespace mangohall {

// How long a task runs, how it ends and what it uses.
struct TaskBehaviour {
    absl::Duration runTime;
    bool isFailing = false;
    // The minimum size of the answer in bytes.
    std::int64_t answerBytes = 0;
    bool ignoresCheckpoint = false;
    // The start of the answer.
    std::string echo;
    // The resources that the task actually uses.
    Resources usage;
};

// Reads {"runMs", "fail", "answerBytes", "ignoreCheckpoint", "echo", "cpuMillis", "memoryBytes"}, all optional. With
// any other payload, the task ends at once and echoes the payload. Usage that is not given equals the requested
// resources.
TaskBehaviour behaviourFromPayload(absl::string_view payload, const Resources& demand);

// Returns the answer of a task that succeeds: the echo, padded with dots.
std::string answerOf(const TaskBehaviour& behaviour);

} // namespace mangohall
