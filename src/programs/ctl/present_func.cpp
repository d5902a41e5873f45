#include "programs/ctl/present_func.h"

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

absl::StatusOr<PresentObject> parsePresent(ConfigKind kind, const nlohmann::json& item)
{
    PresentObject object;
    const auto spec = item.find("spec");
    const auto name = item.find("name");
    const auto revision = item.find("revision");
    const bool isWhole = spec != item.end() && name != item.end() && name->is_string() && revision != item.end()
        && revision->is_number_integer();
    if (!isWhole)
        return absl::DataLossError("an item has no name, spec or revision");
    absl::StatusOr<ConfigSpec> parsed = configSpecFromJson(kind, name->get<std::string>(), *spec);
    if (!parsed.ok())
        return parsed.status();
    object.spec = *std::move(parsed);
    object.revision = revision->get<Revision>();
    return object;
}

absl::Status addItems(ConfigKind kind, const nlohmann::json& body, std::vector<PresentObject>& objects)
{
    const auto items = body.find("items");
    if (items == body.end() || !items->is_array())
        return absl::DataLossError("the list has no items");
    for (const nlohmann::json& item : *items) {
        absl::StatusOr<PresentObject> object = parsePresent(kind, item);
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
    if (step.presentRevision == 0)
        request.headers.push_back({ "If-None-Match", "*" });
    else
        request.headers.push_back({ "If-Match", absl::StrCat(step.presentRevision) });
    return request;
}

// The resource as it stands, if it carries the change.
bool isChangeThere(const EntryReply& reply, const std::string& changeId)
{
    return reply.isSuccess() && textField(reply.body, "changeId") == changeId;
}

} // namespace

std::string listPath(absl::string_view kind)
{
    // Shards have a view of the same name.
    return absl::StrCat("/v1/", encodeForUrl(kind), "?declared=true");
}

PresentState readPresent(const CommandContext& context, absl::Span<const Declaration> declared)
{
    std::set<ConfigKind> kinds;
    for (const Declaration& declaration : declared)
        kinds.insert(kindOf(declaration.spec));
    PresentState state;
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
    const bool isOpen = reply.isUnknown() || (reply.isStatus(httpConflict) && reply.isRepeated);
    if (!isOpen)
        return reply;
    EntryRequest get;
    get.target = put.target;
    EntryReply present = callWithRetries(context.client, get, context.random, context.pause);
    return isChangeThere(present, changeId) ? present : reply;
}

} // namespace mangohall
