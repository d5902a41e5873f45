#include "batch/owner/run_hold_func.h"

#include <vector>

namespace mangohall::batch {

namespace {

// How far a placed run has got, as far as its worker has shown it.
enum class RunState {
    Held,
    // The worker lists the run. A member of a gang may be waiting for the others.
    Listed,
    // The run has made progress. For a member of a gang, so have all others.
    Progressing,
};

RunState stateOf(const WorkerSession& session, const RunKey& run, const RunSlot& slot)
{
    if (slot.isStopWanted || !session.isRunning(run))
        return RunState::Held;
    return slot.percent > slot.firstPercent ? RunState::Progressing : RunState::Listed;
}

RunHold holdOf(const WorkerSession& session, const RunKey& run, const RunSlot& slot)
{
    if (slot.isUnsent())
        return RunHold::NotSent;
    if (!session.isReachable())
        return RunHold::WorkerSilent;
    if (session.startsMayComeUntil(run) != absl::InfinitePast())
        return RunHold::StartInDoubt;
    return slot.isStopWanted ? RunHold::Ending : RunHold::Starting;
}

absl::Time endOf(const WorkerSession& session, const RunKey& run, const RunSlot& slot, RunHold hold)
{
    if (hold == RunHold::WorkerSilent)
        return session.lapsesAt(run, slot);
    return hold == RunHold::StartInDoubt ? session.startsMayComeUntil(run) : absl::InfiniteFuture();
}

bool isLonger(const HeldRun& left, const HeldRun& right)
{
    return left.hold != right.hold ? left.hold > right.hold : left.until > right.until;
}

} // namespace

absl::optional<HeldRun> findHeldRun(const JobProgress& progress, const WorkerRegistry& workers)
{
    absl::optional<HeldRun> longest;
    for (const TaskRef& task : progress.placedTasks()) {
        const TaskProgress& placed = *progress.find(task);
        const RunKey run { { progress.job().id, task }, placed.attempt };
        const auto session = workers.sessions().find(placed.worker);
        if (session == workers.sessions().end())
            continue;
        const auto slot = session->second.runs().find(run);
        if (slot == session->second.runs().end())
            continue;
        const RunState state = stateOf(session->second, run, slot->second);
        if (state == RunState::Progressing)
            return absl::nullopt;
        if (state == RunState::Listed && !progress.stepSpec(task.step).isGang)
            return absl::nullopt;
        if (state == RunState::Listed)
            continue;
        const RunHold hold = holdOf(session->second, run, slot->second);
        const HeldRun held { run, placed.worker, hold, endOf(session->second, run, slot->second, hold) };
        if (!longest || isLonger(held, *longest))
            longest = held;
    }
    return longest;
}

} // namespace mangohall::batch
