#include "batch/job/job_check_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// The largest number of tasks in all steps of one occurrence.
constexpr std::int64_t maxTasks = 20000;
constexpr std::int32_t maxOccurrences = 10000;
// The largest number of tasks in all occurrences. Each task of an open occurrence takes memory of the owner.
constexpr std::int64_t maxTasksOfAllOccurrences = 100000;

absl::Status stepError(std::size_t step, absl::string_view rule)
{
    return makeError(ErrorKind::InvalidValue, absl::StrCat("step ", step, ": ", rule));
}

absl::Status checkStep(const StepSpec& spec, std::size_t step)
{
    if (spec.taskCount <= 0)
        return stepError(step, "the task count must be positive");
    if (spec.demand.cpuMillis < 0 || spec.demand.memoryBytes < 0 || spec.demand.accelerators < 0)
        return stepError(step, "a resource request is negative");
    const bool isEarlier = std::all_of(spec.after.begin(), spec.after.end(),
        [step](std::int32_t other) { return other >= 0 && static_cast<std::size_t>(other) < step; });
    return isEarlier ? absl::OkStatus() : stepError(step, "depends on a step that does not precede it");
}

} // namespace

absl::Status checkSpec(const JobSpec& spec)
{
    if (spec.steps.empty())
        return makeError(ErrorKind::InvalidValue, "a job must have at least one step");
    std::int64_t tasks = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        if (absl::Status status = checkStep(spec.steps[step], step); !status.ok())
            return status;
        tasks += spec.steps[step].taskCount;
    }
    if (tasks > maxTasks)
        return makeError(ErrorKind::InvalidValue, absl::StrCat("a job may have at most ", maxTasks, " tasks"));
    if (spec.repeatCount < 0 || spec.repeatCount > maxOccurrences)
        return makeError(ErrorKind::InvalidValue, absl::StrCat("a job may have 0 to ", maxOccurrences, " occurrences"));
    if (tasks * std::max(1, spec.repeatCount) > maxTasksOfAllOccurrences)
        return makeError(ErrorKind::InvalidValue,
            absl::StrCat("a job may have at most ", maxTasksOfAllOccurrences, " tasks in all its occurrences"));
    if (spec.period < absl::ZeroDuration())
        return makeError(ErrorKind::InvalidValue, "the period is negative");
    return absl::OkStatus();
}

bool matchesSpec(const JobSpec& spec, const ProgressRecord& record)
{
    for (const OccurrenceProgress& occurrence : record.occurrences) {
        if (occurrence.steps.size() != spec.steps.size())
            return false;
        for (std::size_t step = 0; step < spec.steps.size(); ++step) {
            if (occurrence.steps[step].tasks.size() != static_cast<std::size_t>(spec.steps[step].taskCount))
                return false;
        }
    }
    return true;
}

} // namespace mangohall::batch
