// Which process a worker has, and what a restart under its name ends.
#include "batch/worker/worker_session_base.h"

#include <algorithm>

namespace mangohall::batch {

void WorkerSession::takeProcessEntry()
{
    if (m_entry.processStartMs == m_processStartMs)
        m_processEntry = m_entry;
}

std::int64_t WorkerSession::calledProcessStart() const
{
    if (m_isRestartSuspected)
        return m_suspectedStartMs;
    return m_processStartMs != 0 ? m_processStartMs : m_entry.processStartMs;
}

// A reply to a start does not name its process; the clock tells whether it is the one that has replied last.
std::int64_t WorkerSession::replyingProcess(const WorkerReply& reply, absl::Time now) const
{
    if (reply.processStartMs != 0)
        return reply.processStartMs;
    const bool isClockKnown = reply.clock != 0 && m_lease.isClockKnown();
    return isClockKnown && !m_isRestartSuspected && !m_lease.isClockUnexpected(reply.clock, now) ? m_processStartMs : 0;
}

// A start that the worker has not confirmed when it was asked is not asked about again.
void WorkerSession::suspectRestart(std::int64_t processStartMs)
{
    if (m_processStartMs == 0 || processStartMs <= m_processStartMs || processStartMs == m_suspectedStartMs)
        return;
    m_suspectedStartMs = processStartMs;
    m_isRestartSuspected = true;
    m_hasAnswered = false;
    m_lease.forgetClock();
}

void WorkerSession::resolveSuspicion(const SessionCall& context)
{
    if (context.processStartMs >= m_suspectedStartMs)
        m_isRestartSuspected = false;
}

// The new process of a restarted worker has none of the runs of the old one.
void WorkerSession::applyProcessStart(std::int64_t processStartMs, absl::Time now, std::vector<EndedRun>& ended)
{
    if (processStartMs == 0 || processStartMs <= m_processStartMs)
        return;
    if (m_processStartMs != 0) {
        ended = endRunsOfEarlierProcess();
        // The new process counts its ends anew. A late acknowledgement of the earlier ones would make it forget ends
        // that nobody has heard of, so it gets no work until none can arrive any more.
        if (m_commands.acknowledgementsMayComeUntil() > now)
            m_startsPausedUntil = std::max(m_startsPausedUntil, m_commands.acknowledgementsMayComeUntil());
        m_listedEnds.clear();
        m_acknowledgedEnd = 0;
        m_sentAcknowledgedEnd = 0;
        m_confirmedAcknowledgement = 0;
        m_hasAnswered = false;
        m_lease.forgetClock();
        m_repliedSentAt = absl::InfinitePast();
    }
    m_processStartMs = processStartMs;
    m_processEntry.reset();
    takeProcessEntry();
    if (processStartMs >= m_suspectedStartMs)
        m_isRestartSuspected = false;
}

// Only runs that the old process has shown are known to have ended with it. Either process may have executed the start
// of any other run, whose confirmation need not name the process; the next poll of the new process decides, unless a
// start may still be executed. What was placed by the row of the old process and not sent yet may not fit the new one.
std::vector<EndedRun> WorkerSession::endRunsOfEarlierProcess()
{
    std::vector<EndedRun> ended = takeUnsentRuns();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        RunSlot& slot = it->second;
        if (mayStillStart(it->first)) {
            slot.restartUnknown();
            ++it;
        } else if (slot.stage == RunSlot::Stage::Ended) {
            ended.push_back(slot.end);
            ended.back().number = 0;
            it = m_runs.erase(it);
        } else if (slot.processStartMs != 0) {
            ended.push_back({ it->first, RunEnd::LeaseLapsed, "", 0, EndEvidence::ProcessReplaced });
            it = m_runs.erase(it);
        } else {
            slot.isStopConfirmed = false;
            slot.likelyProcessStartMs = 0;
            ++it;
        }
    }
    return ended;
}

std::int64_t WorkerSession::processOf(const RunKey& run) const
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return 0;
    const RunSlot& slot = found->second;
    return slot.processStartMs != 0 ? slot.processStartMs : slot.likelyProcessStartMs;
}

WorkerProcess WorkerSession::describeProcess(std::int64_t processStartMs) const
{
    if (processStartMs == 0)
        return {};
    const absl::Time until = std::max(m_commands.foreignRenewalUntil(processStartMs), absl::UnixEpoch());
    return { processStartMs, absl::ToUnixMillis(until) + 1 };
}

} // namespace mangohall::batch
