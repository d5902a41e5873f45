// Waits for the signals that stop a server program.
#pragma once

#include <csignal>

namespace mangohall {

// SIGTERM and SIGINT.
sigset_t stopSignals();

// Blocks the signals in the calling thread. Threads created later inherit the mask, so that only a thread that waits
// for the signals receives them. Ignores SIGPIPE and SIGXFSZ, so that a write to a connection that the peer has closed,
// or to a log that has reached its size limit, returns an error instead of ending the process.
void blockSignals(const sigset_t& signals);

// Waits until one of the stop signals arrives and returns it. The signals must be blocked.
int waitForStopSignal();

} // namespace mangohall
