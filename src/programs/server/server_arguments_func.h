// Parses the command line of the server programs.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace mangohall {

// The action that the command line selects.
enum class CommandAction {
    // Serve until a stop signal arrives.
    Run,
    // Check the settings file and exit.
    CheckSettings,
    // Print `text` to standard output and exit with success.
    ShowText,
    // Print `text` to standard error and exit with the code for invalid input.
    ShowError,
};

// Result of parsing the command line.
struct ServerArguments {
    CommandAction action = CommandAction::Run;
    // Path of the settings file; set for Run and CheckSettings.
    std::string settingsPath;
    // Help text, version or error message; set for ShowText and ShowError.
    std::string text;
};

// Parses the arguments; the first one is the path of the program, as in argv. `program` is the name that the texts
// show. Unknown options, abbreviated options, positional arguments and a missing --settings give ShowError.
ServerArguments parseServerArguments(absl::Span<const char* const> arguments, absl::string_view program);

} // namespace mangohall
