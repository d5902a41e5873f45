// Main function of the client: command line, command and exit code.
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

// External interfaces of the client. The objects must outlive the call of runClient().
struct ClientPorts {
    HttpClient& http;
    // Source of retry delays and change ids.
    RandomSource& random;
    // Waits between attempts.
    Pause& pause;
    // Standard output and standard error.
    std::ostream& out;
    std::ostream& errors;
};

// Runs the command given by the command-line words, which do not include the program's name. Without a known command it
// prints the help text and returns Usage.
ExitCode runClient(absl::Span<const std::string> words, const ClientPorts& ports);

} // namespace mangohall
