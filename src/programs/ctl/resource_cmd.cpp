#include "programs/ctl/resource_cmd.h"

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "programs/ctl/current_state_func.h"
#include "programs/ctl/job_path_func.h"
#include "programs/ctl/plan_func.h"
#include "programs/ctl/table_func.h"

namespace mangohall {

namespace po = boost::program_options;

namespace {

constexpr int httpNotFound = 404;
constexpr std::size_t objectArgumentCount = 2;

ExitCode showReply(const CommandContext& context, const EntryReply& reply)
{
    const bool isList = reply.isSuccess() && reply.body.is_object() && reply.body.contains("items");
    if (!isList || context.output == OutputFormat::Json)
        return reportReply(context, reply);
    context.out << makeTable(reply.body["items"]);
    return ExitCode::Ok;
}

EntryReply read(const CommandContext& context, const EntryRequest& request)
{
    return callWithRetries(context.client, request, context.random, context.pause);
}

// If the answer to an earlier attempt was lost, NotFound means that the deletion took effect.
bool isDeleted(const EntryReply& reply)
{
    return reply.isSuccess() || (reply.isStatus(httpNotFound) && reply.isEarlierAttemptUnknown);
}

ExitCode deleteObject(
    const CommandContext& context, absl::string_view kind, absl::string_view name, const std::string& revision)
{
    EntryRequest request;
    request.method = "DELETE";
    request.target = objectPath(kind, name);
    if (!revision.empty())
        request.headers.push_back({ "If-Match", revision });
    const EntryReply reply = callWithRetries(context.client, request, context.random, context.pause);
    if (!isDeleted(reply))
        return reportReply(context, reply);
    context.out << "deleted " << kind << "/" << name << "\n";
    return ExitCode::Ok;
}

ExitCode declareDrain(const CommandContext& context, const std::string& name, const nlohmann::json& fields)
{
    const absl::StatusOr<ConfigSpec> spec = configSpecFromJson(ConfigKind::Drain, name, fields);
    if (!spec.ok())
        return failInput(context, spec.status());
    const std::vector<Declaration> declared = { { *spec, "" } };
    const CurrentState current = readCurrentState(context, declared);
    if (!current.isComplete)
        return reportReply(context, current.failure);
    const PlanStep step = makePlan(declared, current.objects).front();
    context.out << describeStep(step) << "\n";
    if (step.action == PlanAction::Unchanged)
        return ExitCode::Ok;
    const EntryReply reply = writeStep(context, step);
    return reply.isSuccess() ? ExitCode::Ok : reportReply(context, reply);
}

} // namespace

void GetCommand::addOptions(po::options_description& options) const
{
    options.add_options()("declared", "list the declared shards instead of their current state");
    addJobOptions(options);
}

ExitCode GetCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.empty() || line.arguments.size() > objectArgumentCount)
        return failUsage(context, *this);
    const std::string& kind = line.arguments[0];
    EntryRequest request;
    if (line.arguments.size() == 1) {
        request.target = line.has("declared") ? listPath(kind) : absl::StrCat("/v1/", encodeForUrl(kind));
        return showReply(context, read(context, request));
    }
    if (kind != "jobs") {
        request.target = objectPath(kind, line.arguments[1]);
        return showReply(context, read(context, request));
    }
    request = makeJobRequest("GET", line.arguments[1], jobOptionsOf(line));
    const EntryReply reply = read(context, request);
    return printJobAnswer(context, reply);
}

void DeleteCommand::addOptions(po::options_description& options) const
{
    options.add_options()("revision", po::value<std::string>(), "delete only if this is the current revision");
}

ExitCode DeleteCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.size() != objectArgumentCount)
        return failUsage(context, *this);
    return deleteObject(context, line.arguments[0], line.arguments[1], line.text("revision"));
}

void DrainCommand::addOptions(po::options_description& options) const
{
    options.add_options()("undo", "delete the drain");
}

ExitCode DrainCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.size() != objectArgumentCount)
        return failUsage(context, *this);
    const std::string name = absl::StrCat(line.arguments[0], "-", line.arguments[1]);
    if (line.has("undo"))
        return deleteObject(context, "drains", name, "");
    return declareDrain(context, name, { { "target", line.arguments[0] }, { "targetName", line.arguments[1] } });
}

void ReportCommand::addOptions(po::options_description& options) const
{
    options.add_options()("html", "fetch the HTML page with plots");
}

ExitCode ReportCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.size() != 1)
        return failUsage(context, *this);
    EntryRequest request;
    request.target = absl::StrCat(line.has("html") ? "/reports/" : "/v1/reports/", encodeForUrl(line.arguments[0]));
    return showReply(context, read(context, request));
}

} // namespace mangohall
