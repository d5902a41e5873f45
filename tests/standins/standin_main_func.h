// Functions that the stand-in programs share.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "boost/program_options.hpp"
#include "standins/http_server_base.h"

namespace mangohall {

// The command-line options that every stand-in has.
struct StandinOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

// Reads the command line with the program's own options. Returns true if the program should continue; otherwise sets
// `exitCode`. Prints the help, the version or the error in the command line.
bool readCommandLine(int argc, const char* const* argv, absl::string_view program,
    const boost::program_options::options_description& programOptions, StandinOptions& options,
    boost::program_options::variables_map& values, int& exitCode);

// Writes one JSON line to the log, which is standard error.
void logLine(absl::string_view program, absl::string_view message);

// Serves until SIGTERM or SIGINT, which must have been blocked before the first thread was started. Prints {"port": N}
// to standard output once it listens. Returns the exit code, 1 if the server cannot listen.
int serveUntilTerminated(HttpServer& server, absl::string_view program, const StandinOptions& options);

} // namespace mangohall
