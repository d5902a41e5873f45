#include "batch/owner/run_review_func.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// Work that is given up for a start elsewhere.
constexpr absl::Duration cheapRestart = absl::Milliseconds(1000);
// A leaving worker often runs on for a while longer than it has promised.
constexpr absl::Duration leavingDoubt = absl::Milliseconds(1500);
// What stopping a run takes, with the wait for the next look at the worker.
constexpr absl::Duration stopLead = absl::Milliseconds(1600);
constexpr double wholePercent = 100;

// Nothing if the job is unknown.
const StepSpec* specOf(const RunKey& run, const JobBook& book)
{
    const JobEntry* entry = book.find(run.task.job);
    if (entry == nullptr || entry->progress.find(run.task.task) == nullptr)
        return nullptr;
    return &entry->progress.stepSpec(run.task.task.step);
}

bool isUrgent(const RunKey& run, const JobBook& book)
{
    return book.find(run.task.job)->progress.job().terms.priority == 0;
}

// A run that stands still is started elsewhere unless that loses more than its standing may.
bool isStandingMisplaced(const RunKey& run, const RunSlot& slot, const StepSpec& spec, const JobBook& book)
{
    const bool isCheap = spec.estimate * (slot.percent / wholePercent) < cheapRestart;
    return !spec.isLasting && ((isUrgent(run, book) && !spec.isGang) || isCheap);
}

absl::Duration expectedRemaining(const RunSlot& slot, const StepSpec& spec, absl::Time now)
{
    const absl::Duration byProgress = WorkerSession::remainingOf(slot, now);
    return byProgress == absl::InfiniteDuration() ? spec.estimate * (1 - slot.percent / wholePercent) : byProgress;
}

// A run with checkpoints keeps its work if it is stopped in time; any other loses it, and the sooner the better.
bool isCutOff(const RunSlot& slot, const StepSpec& spec, absl::Time leavesAt, absl::Time now)
{
    if (spec.isLasting || slot.stage != RunSlot::Stage::Running || slot.isStopWanted)
        return false;
    const absl::Duration left = leavesAt - now;
    if (expectedRemaining(slot, spec, now) <= left + leavingDoubt)
        return false;
    return !spec.isCheckpointing || left <= stopLead;
}

} // namespace

RunReview reviewRuns(const WorkerSession& session, const JobBook& book, absl::Time now)
{
    RunReview review;
    for (const RunKey& run : session.standingRuns(now)) {
        const StepSpec* spec = specOf(run, book);
        if (spec == nullptr)
            continue;
        review.standing.push_back(run);
        if (isStandingMisplaced(run, session.runs().at(run), *spec, book))
            review.misplaced.push_back(run);
    }
    if (session.leavesAt() == absl::InfiniteFuture())
        return review;
    for (const auto& [run, slot] : session.runs()) {
        const StepSpec* spec = specOf(run, book);
        if (spec != nullptr && isCutOff(slot, *spec, session.leavesAt(), now))
            review.misplaced.push_back(run);
    }
    return review;
}

} // namespace mangohall::batch
