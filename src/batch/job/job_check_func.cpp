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

// The encoded size of a step without its texts and dependencies, and of a dependency, in bytes.
constexpr std::int64_t stepRecordBytes = 400;
constexpr std::int64_t dependencyBytes = 11;
// The encoded size of a job without its steps and payload, in bytes.
constexpr std::int64_t jobRecordBytes = 4096;
// An encoding may need up to this many bytes for a byte of a text.
constexpr std::int64_t maxEscapedBytes = 6;

std::int64_t encodedTextBytes(absl::string_view text)
{
    return static_cast<std::int64_t>(text.size()) * maxEscapedBytes;
}

std::int64_t encodedBytes(const StepSpec& spec)
{
    return stepRecordBytes + dependencyBytes * static_cast<std::int64_t>(spec.after.size())
        + encodedTextBytes(spec.requiredLabel->text()) + encodedTextBytes(spec.dataRack->text())
        + encodedTextBytes(spec.image.get());
}

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

absl::Status checkRecordSizes(const JobSpec& spec, const RecordLimits& limits)
{
    const std::int64_t occurrences = std::max(1, spec.repeatCount);
    std::int64_t recordBytes = jobRecordBytes + encodedTextBytes(spec.payload);
    std::int64_t tasks = 0;
    std::int64_t lastingTasks = 0;
    std::int64_t largestGang = 1;
    for (const StepSpec& step : spec.steps) {
        recordBytes += encodedBytes(step);
        tasks += step.taskCount;
        if (step.isLongRunning)
            lastingTasks += step.taskCount;
        else if (step.isGang)
            largestGang = std::max<std::int64_t>(largestGang, step.taskCount);
    }
    if (recordBytes > limits.maxRecordBytes)
        return makeError(ErrorKind::InvalidValue, "the job is too large to be stored");
    const std::int64_t closedBytes = occurrences
        * (RecordLimits::occurrenceBytes + RecordLimits::stepBytes * static_cast<std::int64_t>(spec.steps.size())
            + RecordLimits::closedTaskBytes * tasks);
    if (closedBytes > limits.maxClosedBytes())
        return makeError(ErrorKind::InvalidValue, "the job has too many tasks in all its occurrences to be stored");
    // Long-running tasks never end, so they are open together with whatever else has to run.
    if (lastingTasks * occurrences + largestGang > limits.maxOpenTasks())
        return makeError(ErrorKind::InvalidValue,
            absl::StrCat("a job may have at most ", limits.maxOpenTasks(), " tasks that have to run at the same time"));
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
