#include "fuzz/job_oracle_base.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "fuzz/fuzz_job_func.h"

namespace mangohall {

namespace {

// Returns the key of the job that a request is about, null for a request of an operator.
const JobKey* keyOf(const CallerRequest& request)
{
    if (const auto* submit = std::get_if<SubmitRequest>(&request))
        return &submit->key;
    if (const auto* query = std::get_if<QueryRequest>(&request))
        return &query->key;
    if (const auto* cancel = std::get_if<CancelRequest>(&request))
        return &cancel->key;
    return nullptr;
}

std::string show(const JobKey& key)
{
    return absl::StrCat(key.organisation.str(), "/", key.requestKey);
}

bool isNotRun(ErrorKind kind)
{
    return kind != ErrorKind::None && errorRow(kind).execution == Execution::NotRun;
}

} // namespace

JobOracle::JobOracle(const ObservedHistory& observed)
    : m_observed(observed)
{
    for (const auto& [caller, log] : observed.callers)
        recordCaller(caller, log);
    for (const TaskExecution& execution : observed.executions)
        m_jobs[execution.task.job].executions.push_back(execution);
    for (const TaskStart& start : observed.starts)
        m_jobs[start.task.job].starts.push_back(start);
}

void JobOracle::recordCaller(CallerId caller, const CallerLog& log)
{
    if (log.lastAnswers > 1)
        m_recordingFindings.push_back(absl::StrCat("caller ", caller, " received ", log.lastAnswers, " last answers"));
    const JobKey* key = keyOf(log.request);
    if (key == nullptr)
        return;
    History& history = m_jobs[*key];
    if (const auto* submit = std::get_if<SubmitRequest>(&log.request)) {
        ++history.submits;
        history.bodies.push_back(submit->spec);
    }
    for (const CallerAnswer& answer : log.answers) {
        if (const auto* job = std::get_if<JobAnswer>(&answer)) {
            if (job->status.key != *key)
                m_recordingFindings.push_back(absl::StrCat("caller ", caller, " asked for ", show(*key),
                    " and received an answer about ", show(job->status.key)));
            history.isAcknowledged = true;
            history.reported.push_back({ caller, job->status, log.answeredAt });
        } else if (const auto* error = std::get_if<ErrorAnswer>(&answer)) {
            history.refusals.emplace_back(caller, error->kind);
        } else {
            m_recordingFindings.push_back(
                absl::StrCat("caller ", caller, " received an answer to an operator request"));
        }
    }
}

Findings JobOracle::check() const
{
    Findings findings = m_recordingFindings;
    for (const auto& [key, history] : m_jobs) {
        checkAnswers(key, history, findings);
        checkRefusals(key, history, findings);
        checkExecutions(key, history, findings);
        checkGangs(key, history, findings);
    }
    checkEpochs(findings);
    return findings;
}

void JobOracle::checkAnswers(const JobKey& key, const History& history, Findings& findings) const
{
    const ReportedStatus* first = nullptr;
    for (const ReportedStatus& reported : history.reported) {
        if (reported.status.phase != JobPhase::Ended)
            continue;
        checkOutcome(key, history, reported, findings);
        if (first == nullptr)
            first = &reported;
        const bool isSame
            = first->status.outcome == reported.status.outcome && first->status.results == reported.status.results;
        if (!isSame)
            findings.push_back(absl::StrCat(show(key), ": callers ", first->caller, " and ", reported.caller,
                " received different outcomes: ", errorName(first->status.outcome), ", ",
                errorName(reported.status.outcome)));
    }
}

void JobOracle::checkOutcome(
    const JobKey& key, const History& history, const ReportedStatus& reported, Findings& findings) const
{
    if (isNotRun(reported.status.outcome) && !history.executions.empty())
        findings.push_back(absl::StrCat(show(key), ": caller ", reported.caller, " received ",
            errorName(reported.status.outcome), " and a task ran"));
    if (reported.status.outcome != ErrorKind::None)
        return;
    // The results are those of all tasks of a submitted body.
    const bool isComplete = std::any_of(history.bodies.begin(), history.bodies.end(), [&](const JobSpec& body) {
        return reported.status.results == std::vector<std::string>(body.shape.tasks, echoOf(body));
    });
    if (!isComplete)
        findings.push_back(absl::StrCat(
            show(key), ": caller ", reported.caller, " received results that do not match the submitted job"));
    for (std::size_t index = 0; index < reported.status.results.size(); ++index) {
        const bool ran = std::any_of(history.executions.begin(), history.executions.end(),
            [&](const TaskExecution& one) { return one.task.index == static_cast<std::int32_t>(index); });
        if (!ran)
            findings.push_back(absl::StrCat(show(key), ": success, and task ", index, " never ran"));
    }
}

void JobOracle::checkRefusals(const JobKey& key, const History& history, Findings& findings) const
{
    // A refusal only says that its own submission did not run. It holds for the key if there was no other submission.
    if (history.submits != 1 || history.executions.empty())
        return;
    for (const auto& [caller, kind] : history.refusals) {
        const CallerRequest& request = m_observed.callers.at(caller).request;
        if (isNotRun(kind) && std::holds_alternative<SubmitRequest>(request))
            findings.push_back(
                absl::StrCat(show(key), ": caller ", caller, " was refused with ", errorName(kind), " and a task ran"));
    }
}

void JobOracle::checkExecutions(const JobKey& key, const History& history, Findings& findings) const
{
    if (history.executions.empty() && history.starts.empty())
        return;
    if (history.bodies.empty()) {
        findings.push_back(absl::StrCat(show(key), ": a worker received a task of a job that was never submitted"));
        return;
    }
    const bool mayRunAgain = std::any_of(
        history.bodies.begin(), history.bodies.end(), [](const JobSpec& body) { return body.isIdempotent; });
    std::map<std::int32_t, int> runs;
    std::set<TaskId> ids;
    for (const TaskExecution& execution : history.executions) {
        ++runs[execution.task.index];
        if (!ids.insert(execution.task).second)
            findings.push_back(absl::StrCat(show(key), ": task id of attempt ", execution.task.attempt, ", index ",
                execution.task.index, " ran twice"));
    }
    for (const auto& [index, count] : runs) {
        const auto resumed = std::count_if(history.starts.begin(), history.starts.end(),
            [index = index](const TaskStart& start) { return start.isResumed && start.task.index == index; });
        if (!mayRunAgain && count > 1 + resumed)
            findings.push_back(absl::StrCat(show(key), ": not idempotent, and task ", index, " ran ", count, " times, ",
                resumed, " from a checkpoint"));
    }
}

void JobOracle::checkGangs(const JobKey& key, const History& history, Findings& findings) const
{
    std::map<std::int32_t, absl::Time> firstRun;
    for (const TaskExecution& execution : history.executions) {
        const auto [entry, isNew] = firstRun.emplace(execution.task.attempt, execution.startedAt);
        entry->second = std::min(entry->second, execution.startedAt);
    }
    for (const auto& [attempt, at] : firstRun) {
        std::set<std::int32_t> started;
        for (const TaskStart& start : history.starts) {
            if (start.task.attempt == attempt && start.at <= at)
                started.insert(start.task.index);
        }
        const bool isComplete = std::any_of(history.bodies.begin(), history.bodies.end(),
            [&](const JobSpec& body) { return static_cast<int>(started.size()) == body.shape.tasks; });
        if (!isComplete)
            findings.push_back(absl::StrCat(
                show(key), ": attempt ", attempt, " ran with only ", started.size(), " tasks started on workers"));
    }
}

void JobOracle::checkEpochs(Findings& findings) const
{
    std::map<std::pair<std::string, ShardName>, Epoch> newest;
    for (const AcceptedEpoch& accepted : m_observed.epochs) {
        Epoch& last = newest[{ accepted.incarnation, accepted.shard }];
        if (accepted.epoch < last)
            findings.push_back(absl::StrCat(accepted.worker, " accepted epoch ", accepted.epoch, " of ",
                accepted.shard.str(), " after epoch ", last));
        last = std::max(last, accepted.epoch);
    }
}

Findings JobOracle::checkQuiet() const
{
    Findings findings = check();
    for (const auto& [key, history] : m_jobs) {
        const bool hasEnded = std::any_of(history.reported.begin(), history.reported.end(),
            [](const ReportedStatus& reported) { return reported.status.phase == JobPhase::Ended; });
        if (history.isAcknowledged && !hasEnded)
            findings.push_back(absl::StrCat(show(key), ": accepted, and its outcome was never reported"));
        const bool isLost = !hasEnded && history.submits > 0 && !history.executions.empty();
        if (isLost)
            findings.push_back(absl::StrCat(show(key), ": ran, and its outcome was never reported"));
    }
    return findings;
}

std::set<JobKey> JobOracle::endedBy(absl::Time time) const
{
    std::set<JobKey> ended;
    for (const auto& [key, history] : m_jobs) {
        for (const ReportedStatus& reported : history.reported) {
            if (reported.status.phase == JobPhase::Ended && reported.at <= time)
                ended.insert(key);
        }
    }
    return ended;
}

} // namespace mangohall
