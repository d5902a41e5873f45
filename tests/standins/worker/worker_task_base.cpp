#include "standins/worker/worker_task_base.h"

#include <algorithm>

#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"

namespace mangohall {

namespace {

std::string checkpointText(absl::Duration runTime)
{
    return nlohmann::json({ { "ranMs", absl::ToInt64Milliseconds(runTime) } }).dump();
}

// Returns the run time that a checkpoint holds, zero if it was not made by a simulated worker.
absl::Duration savedRunTime(absl::string_view checkpoint)
{
    absl::Duration saved;
    const absl::StatusOr<nlohmann::json> fields = parseJson(checkpoint);
    if (!fields.ok())
        return absl::ZeroDuration();
    ObjectReader reader(*fields, "");
    reader.read("ranMs", saved);
    return reader.finish().ok() ? saved : absl::ZeroDuration();
}

} // namespace

WorkerTask::WorkerTask(
    const StartTask& start, const ShardName& shard, const TaskBehaviour& behaviour, const WorkerTiming& timing)
    : m_shard(shard)
    , m_behaviour(behaviour)
    , m_timing(timing)
    , m_savedRunTime(savedRunTime(start.checkpoint))
{
    m_report.task = start.task;
    m_report.state = TaskState::Prepared;
    m_report.checkpoint = start.checkpoint;
}

void WorkerTask::advance(absl::Time now)
{
    if (!isLive())
        return;
    const absl::Time end = std::min(m_endsAt, m_leaseUntil);
    if (m_checkpointAt <= now && m_checkpointAt < end)
        takeCheckpoint(m_checkpointAt);
    if (end > now)
        return;
    if (m_endsAt <= m_leaseUntil)
        finish();
    else
        stop();
}

void WorkerTask::renew(absl::Time leaseUntil)
{
    if (isLive())
        m_leaseUntil = leaseUntil;
}

bool WorkerTask::release(absl::Time now)
{
    if (state() != TaskState::Prepared)
        return false;
    m_report.state = TaskState::Running;
    m_runningSince = now;
    m_endsAt = now + std::max(m_behaviour.runTime - m_savedRunTime, absl::ZeroDuration());
    return true;
}

void WorkerTask::failAt(absl::Time at)
{
    m_behaviour.isFailing = true;
    m_endsAt = at;
}

void WorkerTask::requestCheckpoint(absl::Time now)
{
    if (state() != TaskState::Running || m_behaviour.ignoresCheckpoint)
        return;
    // A request while a checkpoint is being taken has no effect.
    if (m_checkpointAt == absl::InfiniteFuture())
        m_checkpointAt = now + m_timing.checkpointDelay;
}

void WorkerTask::stop()
{
    if (state() == TaskState::Prepared)
        m_report.state = TaskState::StoppedBeforeRelease;
    else if (state() == TaskState::Running)
        m_report.state = TaskState::Stopped;
}

TaskReport WorkerTask::report(absl::Time now) const
{
    TaskReport report = m_report;
    if (m_runningSince + m_timing.usageLag <= now)
        report.usage = m_behaviour.usage;
    return report;
}

void WorkerTask::takeCheckpoint(absl::Time at)
{
    m_report.checkpoint = checkpointText(m_savedRunTime + (at - m_runningSince));
    m_checkpointAt = absl::InfiniteFuture();
}

void WorkerTask::finish()
{
    m_report.state = m_behaviour.isFailing ? TaskState::Failed : TaskState::Succeeded;
    m_report.result = m_behaviour.isFailing ? "the task failed" : answerOf(m_behaviour);
}

} // namespace mangohall
