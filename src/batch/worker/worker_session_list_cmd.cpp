// How the list of runs in the reply to a poll changes the state of the runs.
#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// A worker lists at most this many ends at a time. A full list does not show that an unlisted run is over.
constexpr std::size_t maxListedEnds = 500;

} // namespace

void WorkerSession::handlePollReply(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    m_confirmedAcknowledgement = std::max(m_confirmedAcknowledgement, m_sentAcknowledgedEnd);
    reviewLateAcknowledgement(reply);
    for (const RunningRow& row : reply.running)
        handleRunningRow(row, now);
    for (const EndedRow& row : reply.ended)
        handleEndedRow(row, now, update);
    if (reply.ended.size() < maxListedEnds)
        dropUnlistedRuns(context, reply, update);
    update.running = reply.running;
}

void WorkerSession::handleRunningRow(const RunningRow& row, absl::Time now)
{
    const auto found = m_runs.find(row.run);
    if (found == m_runs.end()) {
        // This owner did not start the run. It uses capacity until it is stopped: the whole worker, until `setDemand`
        // sets its actual resources.
        RunSlot slot;
        slot.demand = entry().capacity;
        slot.stage = RunSlot::Stage::Running;
        slot.since = now;
        slot.confirmedAt = now;
        slot.processStartMs = m_processStartMs;
        m_runs[row.run] = slot;
        return;
    }
    RunSlot& slot = found->second;
    if (slot.firstPercentAt == absl::InfiniteFuture()) {
        slot.firstPercent = row.percent;
        slot.firstPercentAt = now;
    }
    if (slot.percentChangedAt == absl::InfiniteFuture() || slot.percent != row.percent)
        slot.percentChangedAt = now;
    slot.percent = row.percent;
    slot.processStartMs = m_processStartMs;
    recordListed(row.run, slot, now);
    if (slot.stage == RunSlot::Stage::Running)
        return;
    slot.stage = RunSlot::Stage::Running;
    slot.confirmedAt = now;
}

void WorkerSession::recordListed(const RunKey& run, RunSlot& slot, absl::Time now)
{
    if (!std::exchange(slot.isShown, true))
        m_commands.recordShown(run, now);
}

void WorkerSession::handleEndedRow(const EndedRow& row, absl::Time now, SessionUpdate& update)
{
    if (row.number <= m_acknowledgedEnd || m_listedEnds.find(row.number) != m_listedEnds.end())
        return;
    m_listedEnds[row.number] = false;
    const EndedRun ended { row.run, row.end, row.checkpoint, row.number };
    const auto found = m_runs.find(row.run);
    const bool isSettled = found == m_runs.end() || !recordListedEnd(found->second, ended, now);
    if (isSettled && found != m_runs.end())
        m_runs.erase(found);
    // The task is not started again before no earlier start can be executed, so other ends are returned then.
    if (isSettled || row.end == RunEnd::Done)
        update.ended.push_back(ended);
}

// Returns whether a start of the run may still be executed.
bool WorkerSession::recordListedEnd(RunSlot& slot, const EndedRun& ended, absl::Time now)
{
    recordListed(ended.run, slot, now);
    if (!mayStillStart(ended.run))
        return false;
    slot.stage = RunSlot::Stage::Ended;
    slot.end = ended;
    return true;
}

// A run is over if its start was executed or refused before the poll was sent, or could not be executed any more by
// then, and the reply lists it neither as running nor as ended.
void WorkerSession::dropUnlistedRuns(const SessionCall& context, const WorkerReply& reply, SessionUpdate& update)
{
    absl::btree_map<RunKey, bool> listed;
    for (const RunningRow& row : reply.running)
        listed[row.run] = true;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        RunSlot& slot = it->second;
        settleStarts(it->first, slot, context.sentAt);
        const bool isOver = slot.stage == RunSlot::Stage::Ended || slot.confirmedAt < context.sentAt;
        if (listed.contains(it->first) || mayStillStart(it->first) || !isOver) {
            if (slot.stage == RunSlot::Stage::Adopted && mayStillStart(it->first))
                slot.stage = RunSlot::Stage::Starting;
            ++it;
            continue;
        }
        update.ended.push_back(describeEnd(it->first, slot));
        it = m_runs.erase(it);
    }
}

// The run is over unless the worker lists it.
void WorkerSession::settleStarts(const RunKey& run, RunSlot& slot, absl::Time polledAt)
{
    if (!mayStillStart(run) || slot.pendingStarts > 0 || m_commands.startsMayComeUntil(run) > polledAt)
        return;
    const bool hasShown = slot.stage == RunSlot::Stage::Running || slot.stage == RunSlot::Stage::Ended;
    m_commands.settleStarts(run);
    if (!hasShown) {
        slot.end = { RunKey(), RunEnd::NotStarted, "", 0, EndEvidence::AbsentFromPoll };
        slot.stage = RunSlot::Stage::Ended;
    }
}

EndedRun WorkerSession::describeEnd(const RunKey& run, const RunSlot& slot)
{
    if (slot.stage == RunSlot::Stage::Ended)
        return { run, slot.end.end, slot.end.checkpoint, slot.end.number, slot.end.evidence };
    const RunEnd end = slot.isStopConfirmed ? RunEnd::Stopped : RunEnd::LeaseLapsed;
    return { run, end, "", 0, EndEvidence::AbsentFromPoll };
}

} // namespace mangohall::batch
