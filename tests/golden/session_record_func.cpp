#include "golden/session_record_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

// One line of the record.
struct SessionEvent {
    absl::Time at;
    // Who did or received something, for example "caller 8 at e0".
    std::string actor;
    std::string text;
};

std::string describe(const TaskId& task)
{
    return absl::StrCat(toText(task.job), " attempt ", task.attempt, " task ", task.index);
}

// Describes a request of a caller or operator.
class RequestDescription {
public:
    std::string operator()(const SubmitRequest& request) const
    {
        const Shape& shape = request.spec.shape;
        return absl::StrCat("submits ", toText(request.key), ", ", shape.tasks, " x ", shape.acceleratorsPerTask);
    }
    std::string operator()(const QueryRequest& request) const { return absl::StrCat("queries ", toText(request.key)); }
    std::string operator()(const CancelRequest& request) const { return absl::StrCat("cancels ", toText(request.key)); }
    std::string operator()(const PutRequest& request) const
    {
        return absl::StrCat("declares ", configKindName(kindOf(request.spec)), "/", nameOf(request.spec));
    }
    std::string operator()(const DeleteRequest& request) const
    {
        return absl::StrCat("deletes ", configKindName(request.kind), "/", request.name);
    }
    std::string operator()(const ReadRequest& request) const
    {
        return absl::StrCat("reads ", configKindName(request.kind), "/", request.name);
    }
    std::string operator()(const WatchRequest& request) const
    {
        return absl::StrCat("watches ", configKindName(request.kind));
    }
    std::string operator()(const ViewRequest& /*request*/) const { return "reads a view"; }
};

// Describes the answer to a request.
class AnswerDescription {
public:
    std::string operator()(const ErrorAnswer& answer) const
    {
        return absl::StrCat("refused: ", errorName(answer.kind));
    }
    std::string operator()(const JobAnswer& answer) const
    {
        const JobStatus& status = answer.status;
        std::string text = absl::StrCat(toText(status.key), " ", phaseName(status.phase), ", attempt ", status.attempt);
        if (status.phase == JobPhase::Ended)
            absl::StrAppend(
                &text, ", ", errorName(status.outcome), ", results [", absl::StrJoin(status.results, " "), "]");
        return text;
    }
    std::string operator()(const ConfigAnswer& answer) const
    {
        return absl::StrCat(configKindName(kindOf(answer.object.spec)), "/", nameOf(answer.object.spec),
            answer.isInForce ? " in force" : " accepted");
    }
    std::string operator()(const ConfigListAnswer& answer) const
    {
        return absl::StrCat(answer.objects.size(), " resources");
    }
    std::string operator()(const ChangeAnswer& answer) const
    {
        return absl::StrCat(answer.changed.size(), " changed, ", answer.deletedNames.size(), " deleted");
    }
    std::string operator()(const DeletedAnswer& /*answer*/) const { return "deleted"; }
    std::string operator()(const ShardsAnswer& answer) const
    {
        return absl::StrJoin(answer.shards, ", ", [](std::string* out, const ShardView& shard) {
            absl::StrAppend(out, shard.spec.name.str(), " at ", shard.owner.str());
        });
    }
    std::string operator()(const NodesAnswer& answer) const { return absl::StrCat(answer.members.size(), " nodes"); }
};

bool isOperatorRequest(const CallerRequest& request)
{
    return !std::holds_alternative<SubmitRequest>(request) && !std::holds_alternative<QueryRequest>(request)
        && !std::holds_alternative<CancelRequest>(request);
}

void addCallerEvents(const ObservedHistory& observed, std::vector<SessionEvent>& events)
{
    for (const auto& [caller, log] : observed.callers) {
        const std::string actor
            = absl::StrCat(isOperatorRequest(log.request) ? "operator " : "caller ", caller, " at ", log.entry);
        events.push_back({ log.sentAt, actor, std::visit(RequestDescription(), log.request) });
        if (!log.answers.empty())
            events.push_back({ log.answeredAt, actor, "<- " + std::visit(AnswerDescription(), log.answers.back()) });
    }
}

void addWorkerEvents(const ObservedHistory& observed, std::vector<SessionEvent>& events)
{
    for (const TaskStart& start : observed.starts) {
        const std::string verb = start.isPrepared ? "prepares " : "starts ";
        const std::string origin = start.isResumed ? " from its checkpoint" : "";
        events.push_back({ start.at, "worker " + start.worker, absl::StrCat(verb, describe(start.task), origin) });
    }
    for (const TaskExecution& execution : observed.executions)
        events.push_back(
            { execution.startedAt, "incarnation " + execution.incarnation, "executes " + describe(execution.task) });
}

} // namespace

std::string recordOf(const ObservedHistory& observed, absl::Time start)
{
    std::vector<SessionEvent> events;
    addCallerEvents(observed, events);
    addWorkerEvents(observed, events);
    std::stable_sort(events.begin(), events.end(),
        [](const SessionEvent& left, const SessionEvent& right) { return left.at < right.at; });
    std::string text;
    for (const SessionEvent& event : events) {
        if (event.at >= start)
            absl::StrAppend(&text, absl::StrFormat("%9.3f", absl::ToDoubleSeconds(event.at - start)), "  ", event.actor,
                ": ", event.text, "\n");
    }
    return text;
}

} // namespace mangohall
