// Options that are common to all commands of the client.
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"

namespace mangohall {

// Format in which lists are printed.
enum class OutputFormat {
    Table,
    Json,
};

// Values of the common options.
struct GlobalOptions {
    // Base URLs of the entries, for example "http://127.0.0.1:8080", in the order in which they are tried.
    std::vector<std::string> entries;
    // Bearer token; empty if none is sent.
    std::string token;
    OutputFormat output = OutputFormat::Table;
    // Timeout of one request, not counting the time that the request asks the system to wait.
    absl::Duration timeout = absl::Seconds(5);
};

} // namespace mangohall
