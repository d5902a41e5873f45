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

// What a command works with.
struct CommandContext {
    EntryClient& client;
    RandomSource& random;
    Pause& pause;
    std::ostream& out;
    std::ostream& errors;
    OutputFormat output = OutputFormat::Table;
};

// What was given on the command line after the command's name.
struct CommandLine {
    std::vector<std::string> arguments;
    boost::program_options::variables_map options;

    bool has(const char* option) const { return options.count(option) > 0; }
    // The value of a text option, or nothing.
    std::string text(const char* option) const;
};

// One command of the client.
class Command {
public:
    virtual ~Command() = default;

    virtual absl::string_view name() const = 0;
    // Arguments and options in one line, for the help text.
    virtual absl::string_view usage() const = 0;
    // Adds the options that only this command takes.
    virtual void addOptions(boost::program_options::options_description& options) const;
    // True if the command sends nothing, so that no entry has to be named.
    virtual bool isOffline() const { return false; }
    virtual ExitCode run(const CommandLine& line, const CommandContext& context) = 0;
};

// Every command, in the order of the help text.
std::vector<std::unique_ptr<Command>> makeCommands();

// Reports wrong usage.
ExitCode failUsage(const CommandContext& context, const Command& command);

// Reports invalid input.
ExitCode failInput(const CommandContext& context, const absl::Status& status);

// Prints the body of a success as JSON, or what went wrong.
ExitCode reportReply(const CommandContext& context, const EntryReply& reply);

// Text made fit to stand in a path or a query.
std::string encodeForUrl(absl::string_view text);

// The path of a declared resource.
std::string objectPath(absl::string_view kind, absl::string_view name);

} // namespace mangohall
