#include "programs/ctl/job_path_func.h"

#include <cstdint>

#include "absl/strings/str_cat.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"

namespace mangohall {

namespace po = boost::program_options;

namespace {

constexpr int httpAccepted = 202;

int severityOf(ExitCode code)
{
    switch (code) {
    case ExitCode::OutcomeUnknown:
        return 4;
    case ExitCode::Unreachable:
        return 3;
    case ExitCode::Refused:
        return 2;
    case ExitCode::Usage:
    case ExitCode::Differences:
        return 1;
    case ExitCode::Ok:
        break;
    }
    return 0;
}

} // namespace

void addJobOptions(po::options_description& options)
{
    options.add_options()("organisation", po::value<std::string>(), "the job's organisation; for operators");
    options.add_options()(
        "wait", po::value<std::uint32_t>()->default_value(0), "milliseconds to wait for the job's end");
}

JobOptions jobOptionsOf(const CommandLine& line)
{
    return { line.text("organisation"), absl::Milliseconds(line.options["wait"].as<std::uint32_t>()) };
}

EntryRequest makeJobRequest(absl::string_view method, absl::string_view requestKey, const JobOptions& options)
{
    EntryRequest request;
    request.method = std::string(method);
    request.wait = options.wait;
    request.target
        = absl::StrCat("/v1/jobs/", encodeForUrl(requestKey), "?waitMs=", absl::ToInt64Milliseconds(options.wait));
    if (!options.organisation.empty())
        absl::StrAppend(&request.target, "&organisation=", encodeForUrl(options.organisation));
    return request;
}

ExitCode printJobAnswer(const CommandContext& context, const EntryReply& reply)
{
    const bool isJob = reply.outcome == EntryReply::Outcome::Answered && reply.body.is_object();
    if (isJob)
        context.out << toJsonText(reply.body) << "\n";
    if (!reply.isSuccess())
        context.errors << reply.describe() << "\n";
    return exitCodeOf(reply);
}

ExitCode exitCodeOfJob(const EntryReply& reply, bool isEndAwaited)
{
    if (isEndAwaited && reply.isStatus(httpAccepted))
        return ExitCode::OutcomeUnknown;
    return exitCodeOf(reply);
}

ExitCode moreSevereOf(ExitCode left, ExitCode right)
{
    return severityOf(left) >= severityOf(right) ? left : right;
}

} // namespace mangohall
