#include "job/attempt_outcome_func.h"

#include <algorithm>

namespace mangohall {

namespace {

// Total attempts of an idempotent job whose tasks fail on their own; each attempt may use other workers.
constexpr std::int32_t maxFailedAttempts = 3;

bool allEnded(absl::Span<const AttemptPart> parts, PartEnd end)
{
    return std::all_of(parts.begin(), parts.end(), [end](const AttemptPart& part) { return part.end == end; });
}

const AttemptPart* firstEnded(absl::Span<const AttemptPart> parts, PartEnd end)
{
    const auto found
        = std::find_if(parts.begin(), parts.end(), [end](const AttemptPart& part) { return part.end == end; });
    return found == parts.end() ? nullptr : &*found;
}

// Whether it is proved that no task executed anything. A gang executes nothing before its release is durable, so an
// attempt of a gang that ended before its release did not run, however it ended.
bool isProvedNotRun(const JobRecord& record, absl::Span<const AttemptPart> parts)
{
    const bool isGang = record.spec.shape.tasks > 1;
    if (isGang && record.phase == JobPhase::Claimed)
        return true;
    return allEnded(parts, PartEnd::NeverRan);
}

// The checkpoint of the whole attempt; empty unless every part has one.
std::string commonCheckpoint(const JobRecord& record, absl::Span<const AttemptPart> parts)
{
    if (!record.spec.isCheckpointable)
        return {};
    const bool hasAll
        = std::all_of(parts.begin(), parts.end(), [](const AttemptPart& part) { return !part.checkpoint.empty(); });
    return hasAll && !parts.empty() ? parts.front().checkpoint : std::string();
}

AttemptOutcome retryOutcome(std::string checkpoint)
{
    return { AttemptDecision::Retry, ErrorKind::None, {}, std::move(checkpoint) };
}

AttemptOutcome end(ErrorKind outcome, absl::string_view message)
{
    return { AttemptDecision::End, outcome, std::string(message), {} };
}

AttemptOutcome cancelledOutcome(bool isNotRun)
{
    if (isNotRun)
        return end(ErrorKind::CancelledBeforeRun, "cancelled before any task ran");
    return end(ErrorKind::CancelledWhileRunning, "cancelled after its tasks were started");
}

AttemptOutcome failedOutcome(const JobRecord& record, const AttemptPart& part)
{
    if (record.spec.isIdempotent && record.attempt + 1 < maxFailedAttempts)
        return retryOutcome(record.checkpoint);
    return end(ErrorKind::TaskFailed, part.message);
}

// The outcome of an attempt that was evicted, stopped or lost with a worker.
AttemptOutcome interruptedOutcome(const JobRecord& record, absl::Span<const AttemptPart> parts)
{
    const std::string checkpoint = commonCheckpoint(record, parts);
    if (!checkpoint.empty())
        return retryOutcome(checkpoint);
    if (record.spec.isIdempotent)
        return retryOutcome(record.checkpoint);
    if (firstEnded(parts, PartEnd::Lost) != nullptr)
        return end(ErrorKind::OutcomeUnknown, "a worker was lost while the job may have been running");
    if (firstEnded(parts, PartEnd::Evicted) != nullptr)
        return end(ErrorKind::Preempted, "preempted: its capacity was reclaimed for a guarantee");
    return end(ErrorKind::OutcomeUnknown, "stopped while the job may have been running");
}

} // namespace

bool allInPhase(absl::Span<const AttemptPart> parts, PartPhase phase)
{
    return !parts.empty()
        && std::all_of(parts.begin(), parts.end(), [phase](const AttemptPart& part) { return part.phase == phase; });
}

AttemptOutcome decideOutcome(const JobRecord& record, absl::Span<const AttemptPart> parts)
{
    if (allEnded(parts, PartEnd::Succeeded))
        return end(ErrorKind::None, {});
    const bool isNotRun = isProvedNotRun(record, parts);
    if (record.isCancelRequested) {
        if (!isNotRun && firstEnded(parts, PartEnd::Lost) != nullptr)
            return end(ErrorKind::OutcomeUnknown, "a worker was lost while the job was being cancelled");
        return cancelledOutcome(isNotRun);
    }
    if (isNotRun)
        return retryOutcome(record.checkpoint);
    if (const AttemptPart* failed = firstEnded(parts, PartEnd::Failed))
        return failedOutcome(record, *failed);
    return interruptedOutcome(record, parts);
}

} // namespace mangohall
