#pragma once

#include "absl/status/status.h"
#include "absl/time/time.h"

namespace mangohall {

// A server process that can be started, drained and stopped.
class ServerProcess {
public:
    virtual ~ServerProcess() = default;

    // Starts to serve and returns without waiting for requests. Fails if a part of the server cannot start; stop()
    // releases the parts that did.
    virtual absl::Status start() = 0;

    // Stops accepting new work, hands the current work over to other nodes and waits for that. Returns false if the
    // timeout ran out first.
    virtual bool drain(absl::Duration timeout) = 0;

    // Ends every thread and closes every connection.
    virtual void stop() = 0;
};

} // namespace mangohall
