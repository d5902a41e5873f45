#include "programs/ctl/current_state_func.h"

#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "configuration/configuration_func.h"
#include "programs/ctl/json_field_func.h"

namespace mangohall {

namespace {

constexpr int httpConflict = 409;

absl::StatusOr<CurrentObject> parseItem(ConfigKind kind, const nlohmann::json& item)
{
    CurrentObject object;
    const auto spec = item.find("spec");
    const auto name = item.find("name");
    const auto revision = item.find("revision");
    const bool isComplete = spec != item.end() && name != item.end() && name->is_string() && revision != item.end()
        && revision->is_number_integer();
    if (!isComplete)
        return absl::DataLossError("invalid list response: an item has no name, spec or revision");
    absl::StatusOr<ConfigSpec> parsed = configSpecFromJson(kind, name->get<std::string>(), *spec);
    if (!parsed.ok())
        return parsed.status();
    object.spec = *std::move(parsed);
    object.revision = revision->get<Revision>();
    return object;
}

absl::Status addItems(ConfigKind kind, const nlohmann::json& body, std::vector<CurrentObject>& objects)
{
    const auto items = body.find("items");
    if (items == body.end() || !items->is_array())
        return absl::DataLossError("invalid list response: no array \"items\"");
    for (const nlohmann::json& item : *items) {
        absl::StatusOr<CurrentObject> object = parseItem(kind, item);
        if (!object.ok())
            return object.status();
        objects.push_back(*std::move(object));
    }
    return absl::OkStatus();
}

EntryRequest makePut(const PlanStep& step, const std::string& changeId)
{
    const absl::string_view kind = configKindName(kindOf(step.spec));
    nlohmann::json body;
    body["kind"] = std::string(kind);
    body["name"] = std::string(nameOf(step.spec));
    body["spec"] = toJson(step.spec);
    EntryRequest request;
    request.method = "PUT";
    request.target = objectPath(kind, nameOf(step.spec));
    request.body = toJsonText(body);
    request.headers.push_back({ "X-Change-Id", changeId });
    if (step.currentRevision == 0)
        request.headers.push_back({ "If-None-Match", "*" });
    else
        request.headers.push_back({ "If-Match", absl::StrCat(step.currentRevision) });
    return request;
}

// True if the resource was read and its latest change is the one with this id.
bool carriesChange(const EntryReply& reply, const std::string& changeId)
{
    return reply.isSuccess() && textField(reply.body, "changeId") == changeId;
}

} // namespace

std::string listPath(absl::string_view kind)
{
    // Without the parameter, the path of shards gives the view of their state instead of the declarations.
    return absl::StrCat("/v1/", encodeForUrl(kind), "?declared=true");
}

CurrentState readCurrentState(const CommandContext& context, absl::Span<const Declaration> declared)
{
    std::set<ConfigKind> kinds;
    for (const Declaration& declaration : declared)
        kinds.insert(kindOf(declaration.spec));
    CurrentState state;
    for (const ConfigKind kind : kinds) {
        EntryRequest request;
        request.target = listPath(configKindName(kind));
        EntryReply reply = callWithRetries(context.client, request, context.random, context.pause);
        if (reply.isSuccess()) {
            const absl::Status status = addItems(kind, reply.body, state.objects);
            if (status.ok())
                continue;
            reply.outcome = EntryReply::Outcome::Unknown;
            reply.message = std::string(status.message());
        }
        state.failure = std::move(reply);
        return state;
    }
    state.isComplete = true;
    return state;
}

EntryReply writeStep(const CommandContext& context, const PlanStep& step)
{
    const std::string changeId = makeChangeId(context.random);
    const EntryRequest put = makePut(step, changeId);
    EntryReply reply = callWithRetries(context.client, put, context.random, context.pause);
    const bool isUnresolved
        = reply.isOutcomeUnknown() || (reply.isStatus(httpConflict) && reply.isEarlierAttemptUnknown);
    if (!isUnresolved)
        return reply;
    EntryRequest get;
    get.target = put.target;
    EntryReply current = callWithRetries(context.client, get, context.random, context.pause);
    return carriesChange(current, changeId) ? current : reply;
}

} // namespace mangohall
