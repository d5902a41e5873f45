#include "batch/job/job_footprint_func.h"

#include <algorithm>
#include <string>

#include "absl/strings/string_view.h"
#include "batch/job/progress_record_type.h"

namespace mangohall::batch {

namespace {

// A job with its identifiers, its entries in the owner's indices and one list of steps.
constexpr std::int64_t jobBytes = 1280;
// What the memory allocator adds to a block.
constexpr std::int64_t blockBytes = 16;
// A step that may start, as an allocation round describes it, and the time since when it may.
constexpr std::int64_t readyStepBytes = 320;
constexpr std::int64_t readySinceBytes = 40;
// An allocation round describes at most this many steps of a job.
constexpr std::int64_t maxReadySteps = 256;

std::int64_t textBytes(absl::string_view text)
{
    if (text.empty())
        return 0;
    return static_cast<std::int64_t>(sizeof(std::string) + text.size()) + 2 * blockBytes;
}

std::int64_t stepBytes(const StepSpec& step)
{
    const std::size_t dependencies = step.after.capacity() * sizeof(std::int32_t);
    return static_cast<std::int64_t>(sizeof(StepSpec) + dependencies) + (dependencies > 0 ? blockBytes : 0)
        + textBytes(step.requiredLabel->text()) + textBytes(step.dataRack->text()) + textBytes(step.image.get());
}

} // namespace

std::int64_t jobFootprint(const JobSpec& spec)
{
    const std::int64_t occurrences = std::max(1, spec.repeatCount);
    const auto steps = static_cast<std::int64_t>(spec.steps.size());
    std::int64_t bytes = jobBytes + static_cast<std::int64_t>(spec.payload.size());
    for (const StepSpec& step : spec.steps)
        bytes += stepBytes(step);
    // While a vector of occurrences grows, its elements exist twice.
    bytes += occurrences * (2 * static_cast<std::int64_t>(sizeof(OccurrenceProgress)) + blockBytes);
    bytes += occurrences * steps * (static_cast<std::int64_t>(sizeof(StepProgress)) + readySinceBytes);
    return bytes + std::min(occurrences * steps, maxReadySteps) * readyStepBytes;
}

} // namespace mangohall::batch
