// How a worker's replies, and calls without a reply, change the state of its runs.
#include "batch/worker/worker_session_base.h"

#include <algorithm>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// How long no new work is started on a worker that refused a start.
constexpr absl::Duration refusalPause = absl::Milliseconds(700);
// A worker lists at most this many ends at a time. A full list does not show that an unlisted run is over.
constexpr std::size_t maxListedEnds = 500;

// Whether the command did not reach the worker: it was not sent, nobody listened, or another worker was at the address.
bool isUndelivered(const WorkerReply& reply)
{
    return reply.refusal == WorkerRefusal::OtherProcess || isNotSent(reply.status)
        || errorKindOf(reply.status) == ErrorKind::OwnerUnreachable;
}

} // namespace

SessionUpdate WorkerSession::handleReply(const SessionCall& context, const WorkerReply& reply, absl::Time now)
{
    SessionUpdate update;
    if (context.kind == SessionCall::Kind::Poll)
        m_isPollPending = false;
    const auto slot = m_runs.find(context.run);
    if (context.kind == SessionCall::Kind::Start && slot != m_runs.end())
        slot->second.isStartPending = false;
    if (context.kind == SessionCall::Kind::Stop && slot != m_runs.end())
        slot->second.isStopPending = false;
    const bool isPollRefused = context.kind == SessionCall::Kind::Poll && reply.refusal != WorkerRefusal::None;
    if (reply.refusal == WorkerRefusal::Fenced) {
        update.isFenced = true;
        return update;
    }
    if (!reply.status.ok() || reply.refusal == WorkerRefusal::OtherProcess || isPollRefused) {
        if (context.kind == SessionCall::Kind::Start)
            handleFailedStart(context, reply, now, update);
        if (context.kind == SessionCall::Kind::Poll && !reply.status.ok() && !isUndelivered(reply))
            recordLateAcknowledgement(now);
        recordFailedCall(reply.status, update);
        return update;
    }
    // The reply comes from an earlier process of the worker. One that does not name its process is taken for a reply of
    // the called one.
    const std::int64_t repliedBy = reply.processStartMs != 0 ? reply.processStartMs : context.processStartMs;
    if (repliedBy != 0 && repliedBy < m_processStartMs) {
        // What became of a start holds all the same.
        if (context.kind == SessionCall::Kind::Start)
            handleStartReply(context, reply, now, update);
        return update;
    }
    recordAnswer(context, reply, now, update);
    switch (context.kind) {
    case SessionCall::Kind::Start:
        handleStartReply(context, reply, now, update);
        break;
    case SessionCall::Kind::Stop:
        handleStopReply(context, reply, now, update);
        break;
    case SessionCall::Kind::Poll:
        handlePollReply(context, reply, now, update);
        break;
    }
    return update;
}

void WorkerSession::handleFailedStart(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    const auto found = m_runs.find(context.run);
    // A poll may have shown the run meanwhile.
    if (found == m_runs.end() || found->second.stage != RunSlot::Stage::Starting)
        return;
    if (isUndelivered(reply)) {
        update.ended.push_back({ context.run, RunEnd::NotStarted, "", 0, EndEvidence::NeverSent });
        m_runs.erase(found);
        return;
    }
    found->second.mayStartUntil = now + maxCommandDelay;
    update.unansweredStart = context.run;
}

absl::Time WorkerSession::lateAcknowledgementEnd() const
{
    const absl::Time pendingSince = isAcknowledgementPending() ? m_polledAt : absl::InfinitePast();
    return std::max(m_lateAcknowledgementUntil, pendingSince + maxCommandDelay);
}

void WorkerSession::recordLateAcknowledgement(absl::Time now)
{
    if (m_sentAcknowledgedEnd == 0)
        return;
    m_lateAcknowledgementUntil = now + maxCommandDelay;
    m_lateAcknowledgement = m_sentAcknowledgedEnd;
}

// The ends were not acknowledged otherwise: no acknowledgement is sent while one without a reply may be executed.
void WorkerSession::reviewLateAcknowledgement(const WorkerReply& reply)
{
    const bool isExecuted = std::none_of(reply.ended.begin(), reply.ended.end(),
        [this](const EndedRow& row) { return row.number <= m_lateAcknowledgement; });
    if (m_lateAcknowledgement == 0 || !isExecuted)
        return;
    m_confirmedAcknowledgement = std::max(m_confirmedAcknowledgement, m_lateAcknowledgement);
    m_lateAcknowledgement = 0;
    m_lateAcknowledgementUntil = absl::InfinitePast();
}

bool WorkerSession::isRemovable(absl::Time now) const
{
    return !m_isListed && m_runs.empty() && !m_isPollPending && lateAcknowledgementEnd() <= now;
}

void WorkerSession::recordFailedCall(const absl::Status& status, SessionUpdate& update)
{
    const ErrorKind kind = errorKindOf(status);
    m_isUnreachable = kind == ErrorKind::OwnerUnreachable || kind == ErrorKind::PeerGone;
    update.isLost = m_failedCalls == 0;
    ++m_failedCalls;
    // The worker takes no work until it has replied to a poll; what was not sent need not wait for that.
    endUnsentRuns(update.ended);
}

void WorkerSession::recordAnswer(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    applyProcessStart(reply.processStartMs, now, update.ended);
    // The row may have named a later process before the worker's first reply.
    suspectRestart(m_entry.processStartMs);
    // The reply names no process, so any later one may have sent it.
    if (reply.processStartMs == 0 && isClockUnexpected(reply.clock, now))
        suspectRestart(std::max(m_processStartMs, m_suspectedStartMs) + 1);
    const bool isPoll = context.kind == SessionCall::Kind::Poll;
    if (isPoll)
        resolveSuspicion(context);
    // The reply may have been sent by an earlier process, whose clock says nothing about the lease of the present one.
    if (m_isRestartSuspected)
        return;
    if (reply.clock != 0) {
        m_workerClock = reply.clock;
        m_clockReadAt = now;
    }
    // Only the reply to a poll shows what became of the commands that were sent while the worker did not reply.
    if (!isPoll)
        return;
    update.isFound = m_failedCalls > 0 || !m_hasAnswered;
    m_failedCalls = 0;
    m_isUnreachable = false;
    m_hasAnswered = true;
}

void WorkerSession::handleStartReply(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    const auto found = m_runs.find(context.run);
    if (found == m_runs.end())
        return;
    RunSlot& slot = found->second;
    if (reply.refusal == WorkerRefusal::None) {
        update.confirmedStart = context.run;
        slot.stage = RunSlot::Stage::Running;
        if (reply.processStartMs != 0)
            slot.processStartMs = reply.processStartMs;
        if (!slot.isStopConfirmed)
            slot.confirmedAt = now;
        return;
    }
    m_startsPausedUntil = now + refusalPause;
    update.ended.push_back({ context.run, RunEnd::NotStarted, "", 0, EndEvidence::StartRefused });
    m_runs.erase(found);
}

void WorkerSession::handleStopReply(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    const auto found = m_runs.find(context.run);
    if (found == m_runs.end() || reply.refusal != WorkerRefusal::None)
        return;
    if (found->second.stage == RunSlot::Stage::Starting)
        update.barredStart = context.run;
    found->second.isStopConfirmed = true;
    found->second.confirmedAt = now;
}

void WorkerSession::handlePollReply(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    m_confirmedAcknowledgement = std::max(m_confirmedAcknowledgement, m_sentAcknowledgedEnd);
    reviewLateAcknowledgement(reply);
    for (const RunningRow& row : reply.running)
        handleRunningRow(row, now);
    for (const EndedRow& row : reply.ended)
        handleEndedRow(row, update);
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
    slot.mayStartUntil = absl::InfinitePast();
    if (slot.stage == RunSlot::Stage::Running)
        return;
    slot.stage = RunSlot::Stage::Running;
    slot.confirmedAt = now;
}

void WorkerSession::handleEndedRow(const EndedRow& row, SessionUpdate& update)
{
    if (row.number <= m_acknowledgedEnd || m_listedEnds.find(row.number) != m_listedEnds.end())
        return;
    m_listedEnds[row.number] = false;
    m_runs.erase(row.run);
    update.ended.push_back({ row.run, row.end, row.checkpoint, row.number });
}

// A run is over if its start was executed or refused before the poll was sent, or could not be executed any more by
// then, and the reply lists it neither as running nor as ended.
void WorkerSession::dropUnlistedRuns(const SessionCall& context, const WorkerReply& reply, SessionUpdate& update)
{
    absl::btree_map<RunKey, bool> listed;
    for (const RunningRow& row : reply.running)
        listed[row.run] = true;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const RunSlot& slot = it->second;
        const bool isDecided = !slot.isStartPending
            && (slot.hasUnknownOutcome() ? slot.mayStartUntil <= context.sentAt : slot.confirmedAt < context.sentAt);
        if (listed.contains(it->first) || !isDecided) {
            ++it;
            continue;
        }
        const RunEnd end = slot.hasUnknownOutcome() ? RunEnd::NotStarted
            : slot.isStopConfirmed                  ? RunEnd::Stopped
                                                    : RunEnd::LeaseLapsed;
        update.ended.push_back({ it->first, end, "", 0, EndEvidence::AbsentFromPoll });
        it = m_runs.erase(it);
    }
}

} // namespace mangohall::batch
