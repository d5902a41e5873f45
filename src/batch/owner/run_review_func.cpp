#include "batch/owner/run_review_func.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// The most work that a restart elsewhere may lose.
constexpr absl::Duration maxRestartLoss = absl::Milliseconds(1000);
// A draining worker often keeps running for a while longer than it has announced.
constexpr absl::Duration departureMargin = absl::Milliseconds(1500);
// Time to stop a run, including the wait for the next poll of the worker.
constexpr absl::Duration stopDelay = absl::Milliseconds(1600);
constexpr double wholePercent = 100;

// The run's step; nullptr if the job or the task is unknown.
const StepSpec* specOf(const RunKey& run, const JobRegistry& jobs)
{
    const JobEntry* entry = jobs.find(run.task.job);
    if (entry == nullptr || entry->progress.find(run.task.task) == nullptr)
        return nullptr;
    return &entry->progress.stepSpec(run.task.task.step);
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

RunReview reviewRuns(const WorkerSession& session, const JobRegistry& jobs, absl::Time now)
{
    RunReview review;
    for (const RunKey& run : session.stalledRuns(now)) {
        const StepSpec* spec = specOf(run, jobs);
        if (spec == nullptr)
            continue;
        review.stalled.push_back(run);
        if (shouldRelocateStalled(run, session.runs().at(run), *spec, jobs))
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
