#include "batch/owner/start_allowance_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

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

void removeEvictions(Allocation& allocation, absl::Span<const PendingStep> steps)
{
    std::set<JobId> guaranteed;
    for (const PendingStep& step : steps) {
        if (step.isGuaranteed)
            guaranteed.insert(step.job);
    }
    std::vector<Eviction>& evictions = allocation.evictions;
    evictions.erase(std::remove_if(evictions.begin(), evictions.end(),
                        [&guaranteed](const Eviction& eviction) { return !guaranteed.contains(eviction.beneficiary); }),
        evictions.end());
}

void hold(Allocation& allocation, const PendingStep& step)
{
    const bool isHeld = !allocation.held.empty() && allocation.held.back().job == step.job;
    if (step.wantsReason && !isHeld)
        allocation.held.push_back({ step.job, HoldReason::OwnerBusy });
}

} // namespace

void limitAllocation(Allocation& allocation, absl::Span<const PendingStep> steps, std::int64_t allowance)
{
    if (static_cast<std::int64_t>(allocation.placements.size()) <= allowance)
        return;
    const std::map<StepKey, const PendingStep*> index = indexSteps(steps);
    std::vector<Placement> kept;
    const PendingStep* gang = nullptr;
    for (Placement& placement : allocation.placements) {
        const PendingStep* step = index.at(keyOf(placement.task));
        if (!step->isGuaranteed && step != gang && allowance <= 0) {
            hold(allocation, *step);
            continue;
        }
        gang = step->spec->isGang ? step : nullptr;
        --allowance;
        kept.push_back(std::move(placement));
    }
    if (kept.size() < allocation.placements.size())
        removeEvictions(allocation, steps);
    allocation.placements = std::move(kept);
}

} // namespace mangohall::batch
