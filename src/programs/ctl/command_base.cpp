#include "programs/ctl/command_base.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "adapters/json/job_json_func.h"

namespace mangohall {

namespace {

constexpr int jsonIndent = 2;

} // namespace

std::string CommandLine::text(const char* option) const
{
    return has(option) ? options[option].as<std::string>() : "";
}

void Command::addOptions(boost::program_options::options_description& /*options*/) const { }

ExitCode failUsage(const CommandContext& context, const Command& command)
{
    context.errors << "usage: mangohallctl " << command.usage() << "\n";
    return ExitCode::Usage;
}

ExitCode failInput(const CommandContext& context, const absl::Status& status)
{
    context.errors << status.message() << "\n";
    return ExitCode::Usage;
}

ExitCode reportReply(const CommandContext& context, const EntryReply& reply)
{
    if (!reply.isSuccess()) {
        context.errors << reply.describe() << "\n";
        return exitCodeOf(reply);
    }
    if (reply.body.is_discarded())
        context.out << reply.text << "\n";
    else
        context.out << reply.body.dump(jsonIndent, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    return ExitCode::Ok;
}

std::string encodeForUrl(absl::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const bool isPlain = absl::ascii_isalnum(static_cast<unsigned char>(character))
            || absl::string_view("-._~").find(character) != absl::string_view::npos;
        if (isPlain)
            encoded.push_back(character);
        else
            absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
    }
    return encoded;
}

std::string objectPath(absl::string_view kind, absl::string_view name)
{
    return absl::StrCat("/v1/", encodeForUrl(kind), "/", encodeForUrl(name));
}

} // namespace mangohall
