#include "dispatch/part_end_func.h"

#include <algorithm>

namespace mangohall {

namespace {

bool isReportedAs(const DispatchTask& task, TaskState state)
{
    return task.knowledge == TaskKnowledge::Reported && task.report.state == state;
}

bool hasNeverRun(const DispatchTask& task)
{
    return isReportedAs(task, TaskState::NeverStarted) || isReportedAs(task, TaskState::StoppedBeforeRelease);
}

} // namespace

bool isSettled(const DispatchTask& task)
{
    if (task.knowledge == TaskKnowledge::Lost)
        return true;
    if (task.knowledge != TaskKnowledge::Reported)
        return false;
    return task.report.state != TaskState::Prepared && task.report.state != TaskState::Running;
}

bool isConfirmed(const DispatchTask& task)
{
    return isReportedAs(task, TaskState::Prepared) || isReportedAs(task, TaskState::Running)
        || isReportedAs(task, TaskState::Succeeded);
}

bool hasEndedUnsuccessfully(const DispatchTask& task)
{
    return isSettled(task) && !isReportedAs(task, TaskState::Succeeded);
}

PartEnd endOf(const DispatchPart& part)
{
    const auto all = [&part](auto predicate) { return std::all_of(part.tasks.begin(), part.tasks.end(), predicate); };
    const auto any = [&part](auto predicate) { return std::any_of(part.tasks.begin(), part.tasks.end(), predicate); };
    if (all([](const DispatchTask& task) { return isReportedAs(task, TaskState::Succeeded); }))
        return PartEnd::Succeeded;
    if (all(hasNeverRun))
        return PartEnd::NeverRan;
    if (any([](const DispatchTask& task) { return isReportedAs(task, TaskState::Failed); }))
        return PartEnd::Failed;
    if (any([](const DispatchTask& task) { return task.knowledge == TaskKnowledge::Lost; }))
        return PartEnd::Lost;
    if (part.stopReason == StopReason::Evicted)
        return PartEnd::Evicted;
    return PartEnd::Stopped;
}

std::string checkpointOf(const DispatchPart& part)
{
    const bool hasAll = !part.tasks.empty()
        && std::all_of(part.tasks.begin(), part.tasks.end(),
            [](const DispatchTask& task) { return !task.report.checkpoint.empty(); });
    return hasAll ? part.tasks.front().report.checkpoint : std::string();
}

} // namespace mangohall
