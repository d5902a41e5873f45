#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "absl/strings/string_view.h"
#include "ports/pause_port.h"
#include "ports/random_port.h"
#include "programs/ctl/entry_client_base.h"
#include "programs/ctl/exit_code_type.h"
#include "programs/ctl/global_options_type.h"
#include "programs/ctl/retry_func.h"

namespace mangohall {

// Everything that a command uses besides its arguments.
struct CommandContext {
    EntryClient& client;
    RandomSource& random;
    Pause& pause;
    std::ostream& out;
    std::ostream& errors;
    OutputFormat output = OutputFormat::Table;
};

// Parsed command line of one command.
struct CommandLine {
    // Positional arguments after the command's name.
    std::vector<std::string> arguments;
    // Options of every command and of this one.
    boost::program_options::variables_map options;

    bool has(const char* option) const { return options.count(option) > 0; }
    // Returns the value of a text option, or an empty string if it was not given.
    std::string text(const char* option) const;
};

// One command of the client.
class Command {
public:
    virtual ~Command() = default;

    // The word that selects the command on the command line.
    virtual absl::string_view name() const = 0;
    // The command's name, arguments and options in one line, for the help text.
    virtual absl::string_view usage() const = 0;
    // Adds the options that are specific to this command; none by default.
    virtual void addOptions(boost::program_options::options_description& options) const;
    // True if the command sends no request, so that --entry is not required.
    virtual bool isOffline() const { return false; }
    // Runs the command; prints results to context.out and errors to context.errors.
    virtual ExitCode run(const CommandLine& line, const CommandContext& context) = 0;
};

// Creates every command, in the order of the help text.
std::vector<std::unique_ptr<Command>> makeCommands();

// Prints the usage line of a command to the error output and returns Usage.
ExitCode failUsage(const CommandContext& context, const Command& command);

// Prints the message of the status to the error output and returns Usage.
ExitCode failInput(const CommandContext& context, const absl::Status& status);

// Prints the body of a successful reply as JSON, or the description of the error to the error output. Returns the
// reply's exit code.
ExitCode reportReply(const CommandContext& context, const EntryReply& reply);

// Percent-encodes text for use in the path or the query of a URL.
std::string encodeForUrl(absl::string_view text);

// Returns the URL path of a declared resource.
std::string objectPath(absl::string_view kind, absl::string_view name);

} // namespace mangohall
