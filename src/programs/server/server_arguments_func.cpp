#include "programs/server/server_arguments_func.h"

#include <sstream>

#include "absl/strings/str_cat.h"
#include "boost/program_options.hpp"

namespace mangohall {

namespace {

namespace options = boost::program_options;

constexpr absl::string_view versionText = "0.1.0";

options::options_description describeOptions()
{
    options::options_description description("Options");
    description.add_options()("help", "print this text");
    description.add_options()("version", "print the version");
    description.add_options()("settings", options::value<std::string>(), "the settings file");
    description.add_options()("check-settings", "check the settings file and exit");
    return description;
}

std::string helpText(absl::string_view program, const options::options_description& description)
{
    std::ostringstream text;
    text << "Usage: " << program << " --settings FILE [--check-settings]\n\n"
         << description << "\n"
         << "Exit codes: 0 stopped gracefully, 1 could not start, 2 a fault in the command line or the settings.\n";
    return text.str();
}

ServerArguments interpret(const options::variables_map& values, absl::string_view program)
{
    if (values.count("help") != 0)
        return { CommandAction::ShowText, "", helpText(program, describeOptions()) };
    if (values.count("version") != 0)
        return { CommandAction::ShowText, "", absl::StrCat(program, " ", versionText, "\n") };
    if (values.count("settings") == 0)
        return { CommandAction::ShowError, "", absl::StrCat(program, ": --settings FILE is required\n") };
    const bool isCheck = values.count("check-settings") != 0;
    const CommandAction action = isCheck ? CommandAction::CheckSettings : CommandAction::Run;
    return { action, values["settings"].as<std::string>(), "" };
}

} // namespace

ServerArguments parseServerArguments(absl::Span<const char* const> arguments, absl::string_view program)
{
    options::variables_map values;
    // The parser keeps pointers to both objects, so they must outlive it.
    const options::options_description description = describeOptions();
    const options::positional_options_description noPositions;
    try {
        const auto count = static_cast<int>(arguments.size());
        // Abbreviated option names and positional arguments are errors.
        options::command_line_parser parser(count, arguments.data());
        parser.options(description).positional(noPositions);
        parser.style(options::command_line_style::unix_style & ~options::command_line_style::allow_guessing);
        options::store(parser.run(), values);
    } catch (const options::error& error) {
        return { CommandAction::ShowError, "", absl::StrCat(program, ": ", error.what(), "\n") };
    }
    return interpret(values, program);
}

} // namespace mangohall
