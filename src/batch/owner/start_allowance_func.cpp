#include "batch/owner/start_allowance_func.h"

#include <map>
#include <tuple>
#include <utility>

namespace mangohall::batch {

namespace {

// Job, occurrence and step.
using StepKey = std::tuple<JobId, std::int32_t, std::int32_t>;

StepKey keyOf(const TaskKey& task)
{
    return { task.job, task.task.occurrence, task.task.step };
}

std::map<StepKey, const PendingStep*> indexSteps(absl::Span<const PendingStep> steps)
{
    std::map<StepKey, const PendingStep*> index;
    for (const PendingStep& step : steps)
        index[{ step.job, step.occurrence, step.step }] = &step;
    return index;
}

} // namespace

std::vector<JobId> limitPlacements(
    std::vector<Placement>& placements, absl::Span<const PendingStep> steps, std::int64_t allowance)
{
    std::vector<JobId> removed;
    if (static_cast<std::int64_t>(placements.size()) <= allowance)
        return removed;
    const std::map<StepKey, const PendingStep*> index = indexSteps(steps);
    std::vector<Placement> kept;
    const PendingStep* gang = nullptr;
    for (Placement& placement : placements) {
        const PendingStep* step = index.at(keyOf(placement.task));
        if (!step->isGuaranteed && step != gang && allowance <= 0) {
            if (step->wantsReason && (removed.empty() || removed.back() != step->job))
                removed.push_back(step->job);
            continue;
        }
        gang = step->spec->isGang ? step : nullptr;
        --allowance;
        kept.push_back(std::move(placement));
    }
    placements = std::move(kept);
    return removed;
}

} // namespace mangohall::batch
