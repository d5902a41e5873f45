#include "standins/worker/worker_state_base.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace mangohall {

namespace {

// Returns the task that a command names, null for a heartbeat.
class TaskNamer {
public:
    const TaskId* operator()(const Heartbeat& /*command*/) const { return nullptr; }
    template <typename Command> const TaskId* operator()(const Command& command) const { return &command.task; }
};

} // namespace

WorkerState::WorkerState(
    const WorkerName& worker, absl::string_view incarnationPrefix, const Clock& clock, const WorkerTiming& timing)
    : m_worker(worker)
    , m_incarnationPrefix(incarnationPrefix)
    , m_clock(clock)
    , m_timing(timing)
{
}

WorkerReport WorkerState::handle(const WorkerCall& call)
{
    const absl::MutexLock lock(&m_mutex);
    const absl::Time now = m_clock.now();
    advance(now);
    WorkerReport report;
    report.worker = m_worker;
    report.incarnation = incarnationName();
    report.isFenced = !applyFence(call.fence);
    if (!report.isFenced)
        report.tasks = apply(call, now);
    return report;
}

void WorkerState::restart()
{
    const absl::MutexLock lock(&m_mutex);
    ++m_restarts;
    m_epochs.clear();
    m_tasks.clear();
    m_closed.clear();
}

void WorkerState::setFailsEveryTask(bool failsEveryTask)
{
    const absl::MutexLock lock(&m_mutex);
    m_failsEveryTask = failsEveryTask;
}

std::vector<TaskExecution> WorkerState::executions() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_executions;
}

std::vector<TaskId> WorkerState::runningTasks()
{
    const absl::MutexLock lock(&m_mutex);
    advance(m_clock.now());
    std::vector<TaskId> running;
    for (const auto& [id, task] : m_tasks) {
        if (task.state() == TaskState::Running)
            running.push_back(id);
    }
    return running;
}

std::string WorkerState::incarnation() const
{
    const absl::MutexLock lock(&m_mutex);
    return incarnationName();
}

bool WorkerState::applyFence(const Fence& fence)
{
    Epoch& newest = m_epochs.try_emplace(fence.shard, fence.epoch).first->second;
    if (fence.epoch < newest)
        return false;
    newest = fence.epoch;
    return true;
}

void WorkerState::advance(absl::Time now)
{
    for (auto& [id, task] : m_tasks)
        task.advance(now);
}

std::vector<TaskReport> WorkerState::apply(const WorkerCall& call, absl::Time now)
{
    if (const auto* const heartbeat = std::get_if<Heartbeat>(&call.command))
        return handleHeartbeat(*heartbeat, call, now);
    const auto* const start = std::get_if<StartTask>(&call.command);
    // The call is for another incarnation, and this one does not know what that one did with the task.
    if (start != nullptr && start->incarnation != incarnationName())
        return {};
    return applyTo(*std::visit(TaskNamer(), call.command), call, now);
}

std::vector<TaskReport> WorkerState::applyTo(const TaskId& id, const WorkerCall& call, absl::Time now)
{
    if (const auto* const command = std::get_if<StartTask>(&call.command))
        start(*command, call.fence.shard, now);
    if (std::holds_alternative<StopTask>(call.command))
        stop(id);
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end()) {
        renew(task->second, call, now);
        if (std::holds_alternative<ReleaseTask>(call.command))
            release(id, now);
        if (std::holds_alternative<CheckpointTask>(call.command))
            task->second.requestCheckpoint(now);
        task->second.advance(now);
    }
    return reportOn(id, now);
}

void WorkerState::renew(WorkerTask& task, const WorkerCall& call, absl::Time now)
{
    // A call without a lease only queries and does not renew.
    if (call.lease > absl::ZeroDuration())
        task.renew(now + call.lease);
}

void WorkerState::start(const StartTask& command, const ShardName& shard, absl::Time now)
{
    if (isKnown(command.task))
        return;
    TaskBehaviour behaviour = behaviourFromPayload(command.payload, command.demand);
    m_tasks.try_emplace(command.task, command, shard, behaviour, m_timing);
    if (!command.isPrepared)
        release(command.task, now);
}

void WorkerState::release(const TaskId& id, absl::Time now)
{
    WorkerTask& task = m_tasks.find(id)->second;
    if (!task.release(now))
        return;
    m_executions.push_back({ id, incarnationName(), now });
    if (m_failsEveryTask)
        task.failAt(now);
}

void WorkerState::stop(const TaskId& id)
{
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end())
        task->second.stop();
    else
        m_closed.try_emplace(id, TaskState::NeverStarted);
}

void WorkerState::forget(const TaskId& id)
{
    const auto task = m_tasks.find(id);
    if (task == m_tasks.end() || task->second.isLive())
        return;
    m_closed.try_emplace(id, task->second.state());
    m_tasks.erase(task);
}

bool WorkerState::isKnown(const TaskId& id) const
{
    return m_tasks.count(id) != 0 || m_closed.count(id) != 0;
}

std::vector<TaskReport> WorkerState::handleHeartbeat(const Heartbeat& command, const WorkerCall& call, absl::Time now)
{
    for (const TaskId& id : command.forget)
        forget(id);
    std::vector<TaskReport> reports;
    for (auto& [id, task] : m_tasks) {
        if (task.shard() != call.fence.shard)
            continue;
        renew(task, call, now);
        reports.push_back(task.report(now));
    }
    return reports;
}

std::vector<TaskReport> WorkerState::reportOn(const TaskId& id, absl::Time now) const
{
    const auto task = m_tasks.find(id);
    if (task != m_tasks.end())
        return { task->second.report(now) };
    const auto closed = m_closed.find(id);
    if (closed == m_closed.end())
        return {};
    TaskReport report;
    report.task = id;
    report.state = closed->second;
    return { report };
}

std::string WorkerState::incarnationName() const
{
    return absl::StrCat(m_incarnationPrefix, "-", m_restarts);
}

} // namespace mangohall
