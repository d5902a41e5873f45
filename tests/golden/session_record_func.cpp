#include "golden/session_record_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

struct Line {
    absl::Time at;
    std::string who;
    std::string what;
};

std::string show(const JobKey& key)
{
    return absl::StrCat(key.organisation.str(), "/", key.requestKey);
}

std::string show(const TaskId& task)
{
    return absl::StrCat(show(task.job), " attempt ", task.attempt, " task ", task.index);
}

std::string phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Claimed:
        return "claimed";
    case JobPhase::Released:
        return "released";
    case JobPhase::Ended:
        return "ended";
    }
    return "";
}

// What a caller asked.
class RequestText {
public:
    std::string operator()(const SubmitRequest& request) const
    {
        const Shape& shape = request.spec.shape;
        return absl::StrCat("submits ", show(request.key), ", ", shape.tasks, " x ", shape.acceleratorsPerTask);
    }
    std::string operator()(const QueryRequest& request) const { return absl::StrCat("asks for ", show(request.key)); }
    std::string operator()(const CancelRequest& request) const { return absl::StrCat("cancels ", show(request.key)); }
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
    std::string operator()(const ViewRequest& /*request*/) const { return "views"; }
};

// What a caller was answered.
class AnswerText {
public:
    std::string operator()(const ErrorAnswer& answer) const
    {
        return absl::StrCat("refused: ", errorName(answer.kind));
    }
    std::string operator()(const JobAnswer& answer) const
    {
        const JobStatus& status = answer.status;
        std::string text = absl::StrCat(show(status.key), " ", phaseName(status.phase), ", attempt ", status.attempt);
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

bool isOperators(const CallerRequest& request)
{
    return !std::holds_alternative<SubmitRequest>(request) && !std::holds_alternative<QueryRequest>(request)
        && !std::holds_alternative<CancelRequest>(request);
}

void addCallers(const Witness& witness, std::vector<Line>& lines)
{
    for (const auto& [caller, log] : witness.callers) {
        const std::string who
            = absl::StrCat(isOperators(log.request) ? "operator " : "caller ", caller, " at ", log.entry);
        lines.push_back({ log.sentAt, who, std::visit(RequestText(), log.request) });
        if (!log.answers.empty())
            lines.push_back({ log.answeredAt, who, "<- " + std::visit(AnswerText(), log.answers.back()) });
    }
}

void addWorkers(const Witness& witness, std::vector<Line>& lines)
{
    for (const TaskStart& start : witness.starts) {
        const std::string how = start.isPrepared ? "prepares " : "takes ";
        const std::string from = start.isResumed ? " from its checkpoint" : "";
        lines.push_back({ start.at, "worker " + start.worker, absl::StrCat(how, show(start.task), from) });
    }
    for (const TaskExecution& execution : witness.executions)
        lines.push_back({ execution.startedAt, "worker run " + execution.incarnation, "runs " + show(execution.task) });
}

} // namespace

std::string recordOf(const Witness& witness, absl::Time start)
{
    std::vector<Line> lines;
    addCallers(witness, lines);
    addWorkers(witness, lines);
    std::stable_sort(
        lines.begin(), lines.end(), [](const Line& left, const Line& right) { return left.at < right.at; });
    std::string text;
    for (const Line& line : lines) {
        if (line.at >= start)
            absl::StrAppend(&text, absl::StrFormat("%9.3f", absl::ToDoubleSeconds(line.at - start)), "  ", line.who,
                ": ", line.what, "\n");
    }
    return text;
}

} // namespace mangohall
