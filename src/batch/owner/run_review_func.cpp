#include "batch/owner/run_review_func.h"

#include <algorithm>

#include "absl/strings/string_view.h"

namespace mangohall::batch {

namespace {

// The most work that a restart elsewhere may lose.
constexpr absl::Duration maxRestartLoss = absl::Milliseconds(1000);
// A draining worker often keeps running for a while longer than it has announced.
constexpr absl::Duration departureMargin = absl::Milliseconds(1500);
// Time to stop a run, including the wait for the next poll of the worker.
constexpr absl::Duration stopDelay = absl::Milliseconds(1600);
constexpr double wholePercent = 100;
// A run has stalled if it stands still for this many times as long as a percent has taken so far.
constexpr double stallFactor = 4;
// Workers report progress in whole percents, and rarely.
constexpr absl::Duration shortestStallTimeout = absl::Milliseconds(1200);
// While a run's own pace is unknown: the first percent takes at most this share of the estimate, which may be far too
// short, but no longer than this, unless the estimate says so itself.
constexpr double firstPercentShare = 0.6;
constexpr absl::Duration longestFirstPercent = absl::Hours(1);

// The run's step; nullptr if the job or the task is unknown.
const StepSpec* specOf(const RunKey& run, const JobRegistry& jobs)
{
    const JobEntry* entry = jobs.find(run.task.job);
    if (entry == nullptr || entry->progress.find(run.task.task) == nullptr)
        return nullptr;
    return &entry->progress.stepSpec(run.task.task.step);
}

// The checkpoint of the run's task, which is known; empty if there is none.
absl::string_view checkpointOf(const RunKey& run, const JobRegistry& jobs)
{
    return jobs.find(run.task.job)->progress.find(run.task.task)->checkpoint;
}

// How long one percent has taken so far; infinite if that is unknown. The progress counts from the first percentage
// that was seen if the run may not have begun with none, and its first whole percent may have been seen at its end.
absl::Duration durationOfPercent(const RunSlot& slot, bool hasBegunHere)
{
    if (hasBegunHere)
        return slot.percent > 0 ? (slot.percentChangedAt - slot.begunAt) / slot.percent : absl::InfiniteDuration();
    const std::int32_t progress = slot.percent - slot.firstPercent;
    return progress > 1 ? (slot.percentChangedAt - slot.firstPercentAt) / progress : absl::InfiniteDuration();
}

// How long the run may stand still before it counts as stalled.
absl::Duration stallTimeoutOf(const RunSlot& slot, const StepSpec& spec, bool hasBegunHere)
{
    const absl::Duration pace = durationOfPercent(slot, hasBegunHere);
    if (pace != absl::InfiniteDuration())
        return std::max(shortestStallTimeout, pace * stallFactor);
    if (spec.estimate <= absl::ZeroDuration())
        return longestFirstPercent;
    const absl::Duration byEstimate = spec.estimate / wholePercent * stallFactor;
    const absl::Duration byShare = std::min(spec.estimate * firstPercentShare, longestFirstPercent);
    return std::max({ shortestStallTimeout, byEstimate, byShare });
}

// Whether the run has stood still since it could work for as long as a stalled one does.
bool hasStalled(
    const RunSlot& slot, const StepSpec& spec, absl::string_view checkpoint, absl::Time couldWorkSince, absl::Time now)
{
    if (slot.stage != RunSlot::Stage::Running || slot.isStopWanted || slot.percent >= wholePercent)
        return false;
    const bool hasBegunHere = slot.begunAt != absl::InfinitePast() && checkpoint.empty();
    const absl::Time stillSince = std::max(slot.percentChangedAt, couldWorkSince);
    return now - stillSince >= stallTimeoutOf(slot, spec, hasBegunHere);
}

// When the worker has shown the member of a gang; the infinite future if it has not, or does not reply.
absl::Time shownSince(const RunKey& run, const WorkerName& name, const WorkerRegistry& workers)
{
    const auto session = workers.sessions().find(name);
    if (session == workers.sessions().end() || !session->second.isRunning(run))
        return absl::InfiniteFuture();
    return session->second.runs().at(run).confirmedAt;
}

// Since when the member of a gang can work, that is all members are there; the infinite future if some are not.
absl::Time isWholeSince(const RunKey& run, const JobProgress& progress, const WorkerRegistry& workers)
{
    absl::Time since = absl::InfinitePast();
    TaskRef member = run.task.task;
    for (member.index = 0; member.index < progress.stepSpec(member.step).taskCount; ++member.index) {
        const TaskProgress* task = progress.find(member);
        if (task == nullptr || task->phase != TaskProgress::Phase::Placed || task->attempt != run.attempt)
            return absl::InfiniteFuture();
        since = std::max(since, shownSince({ { run.task.job, member }, run.attempt }, task->worker, workers));
    }
    return since;
}

// Whether the run stands still although it can work: a member of a gang waits for the others first.
bool hasStalled(
    const RunKey& run, const RunSlot& slot, const JobRegistry& jobs, const WorkerRegistry& workers, absl::Time now)
{
    const StepSpec* spec = specOf(run, jobs);
    if (spec == nullptr || !hasStalled(slot, *spec, checkpointOf(run, jobs), absl::InfinitePast(), now))
        return false;
    if (!spec->isGang)
        return true;
    const absl::Time wholeSince = isWholeSince(run, jobs.find(run.task.job)->progress, workers);
    return hasStalled(slot, *spec, checkpointOf(run, jobs), wholeSince, now);
}

bool isUrgent(const RunKey& run, const JobRegistry& jobs)
{
    return jobs.find(run.task.job)->progress.job().terms.priority == 0;
}

// A stalled run is restarted elsewhere if it is urgent and no gang member, or if the restart loses little work.
bool shouldRelocateStalled(const RunKey& run, const RunSlot& slot, const StepSpec& spec, const JobRegistry& jobs)
{
    const bool isCheap = spec.estimate * (slot.percent / wholePercent) < maxRestartLoss;
    return !spec.isLongRunning && ((isUrgent(run, jobs) && !spec.isGang) || isCheap);
}

absl::Duration expectedRemainingTime(const RunSlot& slot, const StepSpec& spec, absl::Time now)
{
    const absl::Duration byProgress = WorkerSession::remainingTime(slot, now);
    return byProgress == absl::InfiniteDuration() ? spec.estimate * (1 - slot.percent / wholePercent) : byProgress;
}

// Whether the run would not be done before its worker leaves and is to be stopped now. A run with checkpoints keeps its
// work if it is stopped just in time; any other run loses all of it, so it is stopped at once.
bool shouldRelocateBeforeDeparture(const RunSlot& slot, const StepSpec& spec, absl::Time leavesAt, absl::Time now)
{
    if (spec.isLongRunning || slot.stage != RunSlot::Stage::Running || slot.isStopWanted)
        return false;
    const absl::Duration left = leavesAt - now;
    if (expectedRemainingTime(slot, spec, now) <= left + departureMargin)
        return false;
    return !spec.isCheckpointing || left <= stopDelay;
}

} // namespace

RunReview reviewRuns(
    const WorkerSession& session, const JobRegistry& jobs, const WorkerRegistry& workers, absl::Time now)
{
    RunReview review;
    for (const auto& [run, slot] : session.runs()) {
        if (!hasStalled(run, slot, jobs, workers, now))
            continue;
        review.stalled.push_back(run);
        if (shouldRelocateStalled(run, slot, *specOf(run, jobs), jobs))
            review.toRelocate.push_back({ run, StopReason::Stalled });
    }
    if (session.leavesAt() == absl::InfiniteFuture())
        return review;
    for (const auto& [run, slot] : session.runs()) {
        const StepSpec* spec = specOf(run, jobs);
        if (spec != nullptr && shouldRelocateBeforeDeparture(slot, *spec, session.leavesAt(), now))
            review.toRelocate.push_back({ run, StopReason::WorkerLeaves });
    }
    return review;
}

} // namespace mangohall::batch
