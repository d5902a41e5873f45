// The client from its command line to its exit code.
#pragma once

#include <ostream>
#include <string>

#include "absl/types/span.h"
#include "adapters/http/http_client_port.h"
#include "ports/pause_port.h"
#include "ports/random_port.h"
#include "programs/ctl/exit_code_type.h"
#include "programs/ctl/retry_func.h"

namespace mangohall {

// What the client reaches the world with.
struct ClientPorts {
    HttpClient& http;
    RandomSource& random;
    Pause& pause;
    std::ostream& out;
    std::ostream& errors;
};

// Runs the command that the words name, the program's own name not among them.
ExitCode runClient(absl::Span<const std::string> words, const ClientPorts& ports);

} // namespace mangohall
