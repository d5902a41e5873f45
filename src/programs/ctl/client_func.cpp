#include "programs/ctl/client_func.h"

#include <cstdint>
#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "core/error_func.h"
#include "programs/ctl/command_base.h"
#include "programs/ctl/declaration_func.h"

namespace mangohall {

namespace po = boost::program_options;

namespace {

constexpr absl::string_view exitCodeHelp = R"(
Exit codes:
  0  done
  1  refused, or the job has failed
  2  wrong usage or invalid input; nothing was sent
  3  a dry run or a diff has found differences
  4  no entry could be reached; nothing was changed
  5  it is not known what became of the request
)";

po::options_description makeGlobalOptions()
{
    po::options_description options("Options of every command");
    options.add_options()("help,h", "print this text");
    options.add_options()("entry", po::value<std::vector<std::string>>()->composing(),
        "URL of an entry, for example http://127.0.0.1:8080; may be repeated; the next entry is tried if one cannot "
        "be reached");
    options.add_options()("token", po::value<std::string>(), "bearer token");
    options.add_options()("token-file", po::value<std::string>(), "file that holds the bearer token");
    options.add_options()("output", po::value<std::string>()->default_value("table"), "json or table");
    options.add_options()("timeout", po::value<std::uint32_t>()->default_value(5000),
        "milliseconds for one request, its wait not counted");
    return options;
}

void printHelp(std::ostream& out, absl::Span<const std::unique_ptr<Command>> commands)
{
    out << "usage: mangohallctl [OPTIONS] COMMAND\n\nCommands:\n";
    for (const std::unique_ptr<Command>& command : commands) {
        out << "  " << command->usage() << "\n";
        po::options_description options("    Options");
        command->addOptions(options);
        if (!options.options().empty())
            out << options;
    }
    out << "\n" << makeGlobalOptions() << exitCodeHelp;
}

// Returns the index of the command's name: the first word that is neither an option nor the value of an option.
std::size_t findCommandWord(absl::Span<const std::string> words)
{
    std::size_t index = 0;
    while (index < words.size() && absl::StartsWith(words[index], "-")) {
        const bool isFlag = words[index] == "--help" || words[index] == "-h";
        const bool isComplete = isFlag || absl::StrContains(words[index], "=");
        index += isComplete ? 1 : 2;
    }
    return index;
}

Command* findCommand(absl::Span<const std::unique_ptr<Command>> commands, absl::string_view name)
{
    for (const std::unique_ptr<Command>& command : commands) {
        if (command->name() == name)
            return command.get();
    }
    return nullptr;
}

CommandLine parseLine(const std::vector<std::string>& words, const Command& command)
{
    po::options_description options = makeGlobalOptions();
    command.addOptions(options);
    options.add_options()("argument", po::value<std::vector<std::string>>()->composing(), "");
    po::positional_options_description positional;
    positional.add("argument", -1);
    // Abbreviated options are not accepted: an abbreviation could change its meaning when options are added.
    const int style = po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
    CommandLine line;
    po::store(po::command_line_parser(words).options(options).positional(positional).style(style).run(), line.options);
    po::notify(line.options);
    if (line.has("argument"))
        line.arguments = line.options["argument"].as<std::vector<std::string>>();
    return line;
}

absl::Status readToken(const CommandLine& line, GlobalOptions& options)
{
    options.token = line.text("token");
    if (!line.has("token-file"))
        return absl::OkStatus();
    if (line.has("token"))
        return makeError(ErrorKind::InvalidValue, "--token and --token-file cannot be given together");
    const absl::StatusOr<std::string> text = readFile(line.text("token-file"));
    if (!text.ok())
        return text.status();
    options.token = std::string(absl::StripAsciiWhitespace(*text));
    return absl::OkStatus();
}

absl::Status readOptions(const CommandLine& line, const Command& command, GlobalOptions& options)
{
    if (line.has("entry"))
        options.entries = line.options["entry"].as<std::vector<std::string>>();
    if (options.entries.empty() && !command.isOffline())
        return makeError(ErrorKind::InvalidValue, "--entry is required");
    const std::string output = line.text("output");
    if (output != "table" && output != "json")
        return makeError(ErrorKind::InvalidValue, "--output must be json or table");
    options.output = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    options.timeout = absl::Milliseconds(line.options["timeout"].as<std::uint32_t>());
    return readToken(line, options);
}

ExitCode runCommand(Command& command, const CommandLine& line, const ClientPorts& ports)
{
    GlobalOptions options;
    if (const absl::Status status = readOptions(line, command, options); !status.ok()) {
        ports.errors << status.message() << "\n";
        return ExitCode::Usage;
    }
    EntryClient client(ports.http, options);
    return command.run(line, { client, ports.random, ports.pause, ports.out, ports.errors, options.output });
}

} // namespace

ExitCode runClient(absl::Span<const std::string> words, const ClientPorts& ports)
{
    const std::vector<std::unique_ptr<Command>> commands = makeCommands();
    const std::size_t commandIndex = findCommandWord(words);
    Command* command = commandIndex < words.size() ? findCommand(commands, words[commandIndex]) : nullptr;
    std::vector<std::string> remaining(words.begin(), words.end());
    const bool isHelpWanted = !remaining.empty() && (remaining[0] == "--help" || remaining[0] == "-h");
    if (isHelpWanted || command == nullptr) {
        printHelp(isHelpWanted ? ports.out : ports.errors, commands);
        return isHelpWanted ? ExitCode::Ok : ExitCode::Usage;
    }
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(commandIndex));
    try {
        const CommandLine line = parseLine(remaining, *command);
        if (!line.has("help"))
            return runCommand(*command, line, ports);
    } catch (const po::error& error) {
        ports.errors << error.what() << "\n";
        return ExitCode::Usage;
    }
    printHelp(ports.out, commands);
    return ExitCode::Ok;
}

} // namespace mangohall
