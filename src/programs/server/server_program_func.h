// Main function of the server programs: command line, settings, signals and exit code.
#pragma once

#include <functional>
#include <memory>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "adapters/settings/settings_type.h"
#include "programs/server/server_process_base.h"

namespace mangohall {

// Creates the process for valid settings; does not start it.
using ServerFactory = std::function<std::unique_ptr<ServerProcess>(const Settings&)>;

// The properties in which the server programs differ.
struct ServerProgram {
    // Name shown in the help text and in error messages.
    absl::string_view name;
    // Role for which the settings are checked.
    NodeRole role = NodeRole::Scheduler;
    ServerFactory makeProcess;
};

// Runs the program until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful stop, --help, --version or a
// successful --check-settings, 1 if the server could not start, 2 if the command line or the settings are invalid.
int runServerProgram(absl::Span<const char* const> arguments, const ServerProgram& program);

} // namespace mangohall
