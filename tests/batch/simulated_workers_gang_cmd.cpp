// The gangs on simulated workers: the members work only together, and end together.
#include "batch/simulated_workers_base.h"

namespace mangohall::batch {

namespace {

// How long a member waits for the others, and until the others learn of its end.
constexpr absl::Duration gangTimeout = absl::Seconds(4);
constexpr absl::Duration breakDelay = absl::Milliseconds(1);

bool isSameAttempt(const RunKey& left, const RunKey& right)
{
    const TaskRef& leftTask = left.task.task;
    const TaskRef& rightTask = right.task.task;
    return left.task.job == right.task.job && leftTask.occurrence == rightTask.occurrence
        && leftTask.step == rightTask.step && left.attempt == right.attempt;
}

} // namespace

const StepSpec* SimulatedWorkers::gangStepOf(const RunKey& run) const
{
    const Job* job = jobOf(run.task);
    if (job == nullptr)
        return nullptr;
    const StepSpec& step = job->spec.steps[static_cast<std::size_t>(run.task.task.step)];
    return step.isGang ? &step : nullptr;
}

std::vector<std::pair<std::string, RunKey>> SimulatedWorkers::membersOf(const RunKey& run) const
{
    std::vector<std::pair<std::string, RunKey>> members;
    for (const auto& [name, worker] : m_workers) {
        for (const auto& [member, running] : worker.running) {
            if (isSameAttempt(member, run))
                members.emplace_back(name, member);
        }
    }
    return members;
}

void SimulatedWorkers::joinGang(const std::string& name, const RunKey& run, std::int32_t memberCount)
{
    const std::vector<std::pair<std::string, RunKey>> members = membersOf(run);
    if (static_cast<std::int32_t>(members.size()) == memberCount) {
        for (const auto& [worker, member] : members)
            begin(worker, member);
        return;
    }
    m_timeline.after(gangTimeout, [this, name, processStartMs = m_workers.at(name).entry.processStartMs, run] {
        giveUpWaiting(name, processStartMs, run);
    });
}

void SimulatedWorkers::giveUpWaiting(const std::string& name, std::int64_t processStartMs, const RunKey& run)
{
    Worker& worker = m_workers.at(name);
    const auto found = worker.running.find(run);
    if (worker.entry.processStartMs != processStartMs || found == worker.running.end())
        return;
    if (found->second.begunAt == absl::InfiniteFuture())
        end(worker, run, RunEnd::GangIncomplete);
}

void SimulatedWorkers::breakGang(const RunKey& run)
{
    if (gangStepOf(run) == nullptr)
        return;
    m_timeline.after(breakDelay, [this, run] {
        for (const auto& [name, member] : membersOf(run)) {
            Worker& worker = m_workers.at(name);
            if (worker.running.contains(member))
                end(worker, member, RunEnd::GangBroken);
        }
    });
}

} // namespace mangohall::batch
