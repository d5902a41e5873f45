#include "adapters/json/answer_json_func.h"

#include <variant>

#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpAccepted = 202;

EncodedAnswer success(const nlohmann::json& body)
{
    return { httpOk, toJsonText(body) };
}

nlohmann::json namesToJson(const std::vector<NodeName>& names)
{
    nlohmann::json list = nlohmann::json::array();
    for (const NodeName& name : names)
        list.push_back(name.str());
    return list;
}

nlohmann::json configToJson(const ConfigAnswer& answer)
{
    nlohmann::json object = toJson(answer.object);
    object["status"]["inForce"] = answer.isInForce;
    object["status"]["lagging"] = namesToJson(answer.lagging);
    return object;
}

nlohmann::json shardToJson(const ShardView& view)
{
    nlohmann::json object;
    object["name"] = view.spec.name.str();
    object["spec"] = toJson(ConfigSpec(view.spec));
    object["owner"] = view.owner.str();
    object["epoch"] = view.epoch;
    nlohmann::json& capacity = object["capacity"];
    capacity["freeAccelerators"] = view.capacity.freeAccelerators;
    capacity["largestFreeWorker"] = view.capacity.largestFreeWorker;
    capacity["largestFreeRack"] = view.capacity.largestFreeRack;
    capacity["queuedTasks"] = view.capacity.queuedTasks;
    return object;
}

nlohmann::json memberToJson(const Member& member)
{
    nlohmann::json object;
    object["node"] = member.node.str();
    object["role"] = member.role == NodeRole::Entry ? "entry" : "scheduler";
    object["address"] = member.address;
    object["region"] = member.region.str();
    object["dataCentre"] = member.dataCentre.str();
    object["leaving"] = member.isLeaving;
    return object;
}

// Encodes an answer by its type, for `std::visit`.
struct AnswerEncoder {
    EncodedAnswer operator()(const ErrorAnswer& answer) const
    {
        const ErrorRow& row = errorRow(answer.kind);
        return { row.httpStatus, toJsonText(toJson(answer)), row.isRetryable };
    }

    EncodedAnswer operator()(const JobAnswer& answer) const
    {
        const JobStatus& status = answer.status;
        if (status.refusal != ErrorKind::None)
            return (*this)(ErrorAnswer { status.refusal, status.message, 0, 0 });
        nlohmann::json body = toJson(status);
        if (status.phase != JobPhase::Ended)
            return { httpAccepted, toJsonText(body) };
        if (status.outcome != ErrorKind::None)
            body.update(toJson(ErrorAnswer { status.outcome, status.message, 0, 0 }));
        return { errorRow(status.outcome).httpStatus, toJsonText(body) };
    }

    EncodedAnswer operator()(const ConfigAnswer& answer) const { return success(configToJson(answer)); }

    EncodedAnswer operator()(const ConfigListAnswer& answer) const
    {
        nlohmann::json body;
        body["revision"] = answer.revision;
        body["items"] = nlohmann::json::array();
        for (const ConfigAnswer& object : answer.objects)
            body["items"].push_back(configToJson(object));
        return success(body);
    }

    EncodedAnswer operator()(const ChangeAnswer& answer) const
    {
        nlohmann::json body;
        body["revision"] = answer.revision;
        body["changed"] = nlohmann::json::array();
        for (const ConfigObject& object : answer.changed)
            body["changed"].push_back(toJson(object));
        body["deleted"] = answer.deletedNames;
        return success(body);
    }

    EncodedAnswer operator()(const DeletedAnswer& answer) const
    {
        nlohmann::json body;
        body["revision"] = answer.revision;
        return success(body);
    }

    EncodedAnswer operator()(const ShardsAnswer& answer) const
    {
        nlohmann::json body;
        body["items"] = nlohmann::json::array();
        for (const ShardView& view : answer.shards)
            body["items"].push_back(shardToJson(view));
        return success(body);
    }

    EncodedAnswer operator()(const NodesAnswer& answer) const
    {
        nlohmann::json body;
        body["items"] = nlohmann::json::array();
        for (const Member& member : answer.members)
            body["items"].push_back(memberToJson(member));
        return success(body);
    }
};

} // namespace

nlohmann::json toJson(const ErrorAnswer& error)
{
    const ErrorRow& row = errorRow(error.kind);
    nlohmann::json fields;
    fields["kind"] = std::string(row.name);
    fields["message"] = error.message;
    fields["retryable"] = row.isRetryable;
    fields["execution"] = std::string(executionName(row.execution));
    if (error.kind == ErrorKind::RevisionConflict) {
        fields["expectedRevision"] = error.expectedRevision;
        fields["presentRevision"] = error.presentRevision;
    }
    nlohmann::json body;
    body["error"] = std::move(fields);
    return body;
}

nlohmann::json toJson(const ConfigObject& object)
{
    nlohmann::json fields;
    fields["kind"] = std::string(configKindName(kindOf(object.spec)));
    fields["name"] = std::string(nameOf(object.spec));
    fields["spec"] = toJson(object.spec);
    fields["revision"] = object.revision;
    fields["changeId"] = object.changeId;
    return fields;
}

EncodedAnswer encodeAnswer(const CallerAnswer& answer)
{
    return std::visit(AnswerEncoder {}, answer);
}

EncodedAnswer encodeError(const absl::Status& status)
{
    ErrorAnswer error;
    error.kind = errorKindOf(status);
    error.message = std::string(status.message());
    return encodeAnswer(error);
}

} // namespace mangohall
