// How a worker's replies to commands, and calls without a reply, change the state of its runs.
#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// How long no new work is started on a worker that refused a start.
constexpr absl::Duration refusalPause = absl::Milliseconds(700);

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
    if (context.kind == SessionCall::Kind::Start)
        --m_pendingStarts;
    if (context.kind == SessionCall::Kind::Start && slot != m_runs.end())
        --slot->second.pendingStarts;
    if (context.kind == SessionCall::Kind::Stop && slot != m_runs.end())
        slot->second.isStopPending = false;
    const bool isPollRefused = context.kind == SessionCall::Kind::Poll && reply.refusal != WorkerRefusal::None;
    if (reply.refusal == WorkerRefusal::Fenced) {
        update.isFenced = true;
        return update;
    }
    if (!reply.status.ok() || reply.refusal == WorkerRefusal::OtherProcess || isPollRefused) {
        handleFailure(context, reply, now, update);
        return update;
    }
    const std::int64_t repliedBy = replyingProcess(reply, now);
    if (mayBeOneOfTwoRuns(context, reply, repliedBy))
        m_commands.recordReplyOfUnknown(context, now);
    else
        m_commands.recordReply(context, repliedBy, now);
    // The reply comes from an earlier process of the worker. One that does not name its process is taken for a reply of
    // the called one.
    const std::int64_t namedProcess = reply.processStartMs != 0 ? reply.processStartMs : context.processStartMs;
    if (namedProcess != 0 && namedProcess < m_processStartMs) {
        // What became of a start holds all the same.
        if (context.kind == SessionCall::Kind::Start)
            handleStartReply(context, reply, repliedBy, now, update);
        return update;
    }
    recordAnswer(context, reply, now, update);
    if (repliedBy != 0 && repliedBy == m_processStartMs && isProcessCertain())
        m_repliedSentAt = std::max(m_repliedSentAt, context.sentAt);
    switch (context.kind) {
    case SessionCall::Kind::Start:
        handleStartReply(context, reply, repliedBy, now, update);
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

// An unknown process has executed the start, and the present one may have executed an earlier sending: what the present
// one lists says nothing of the other run.
bool WorkerSession::mayBeOneOfTwoRuns(
    const SessionCall& context, const WorkerReply& reply, std::int64_t repliedBy) const
{
    const auto slot = m_runs.find(context.run);
    return context.kind == SessionCall::Kind::Start && reply.refusal == WorkerRefusal::None && repliedBy == 0
        && slot != m_runs.end() && slot->second.isStartRepeated;
}

void WorkerSession::handleFailure(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    update.senderDelay = senderDelayOf(reply.status);
    if (reply.refusal == WorkerRefusal::OtherProcess)
        m_claim.recordRefusal(context.sentAt);
    const bool mayBeExecuted = !reply.status.ok() && !isUndelivered(reply);
    const bool wasUnknown
        = mayBeExecuted ? m_commands.recordNoReply(context, now) : m_commands.recordNotExecuted(context);
    if (context.kind == SessionCall::Kind::Start && wasUnknown)
        handleFailedStart(context, reply, update);
    if (mayBeExecuted && context.kind == SessionCall::Kind::Poll && context.renewsLease)
        update.unansweredRenewal = context.processStartMs;
    if (const auto found = m_runs.find(context.run); context.kind == SessionCall::Kind::Stop && found != m_runs.end())
        ++found->second.unansweredStops;
    if (!mayBeExecuted || context.acknowledgedEnd != 0 || !hasRepliedSince(context))
        recordFailedCall(context, reply.status, update);
}

// The loss of one command or of its reply does not show that the worker is silent if the process has replied to a
// later one.
bool WorkerSession::hasRepliedSince(const SessionCall& context) const
{
    return context.sentAt + context.wait <= m_repliedSentAt;
}

void WorkerSession::handleFailedStart(const SessionCall& context, const WorkerReply& reply, SessionUpdate& update)
{
    const auto found = m_runs.find(context.run);
    if (found == m_runs.end()) {
        m_commands.settleStarts(context.run);
        return;
    }
    if (isUndelivered(reply)) {
        dropUnstartedRun(found, EndEvidence::NeverSent, update);
        return;
    }
    update.unansweredStart = context.run;
}

// Drops a run of which no start was or may be executed.
void WorkerSession::dropUnstartedRun(
    absl::btree_map<RunKey, RunSlot>::iterator found, EndEvidence evidence, SessionUpdate& update)
{
    if (found->second.stage != RunSlot::Stage::Starting || mayStillStart(found->first))
        return;
    update.ended.push_back({ found->first, RunEnd::NotStarted, "", 0, evidence });
    m_runs.erase(found);
}

// The ends were not acknowledged otherwise: no acknowledgement is sent while one without a reply may be executed.
void WorkerSession::reviewLateAcknowledgement(const WorkerReply& reply)
{
    const std::int64_t acknowledged = m_commands.unansweredAcknowledgement(calledProcessStart());
    const bool isExecuted = std::none_of(reply.ended.begin(), reply.ended.end(),
        [acknowledged](const EndedRow& row) { return row.number <= acknowledged; });
    if (acknowledged == 0 || !isExecuted)
        return;
    m_confirmedAcknowledgement = std::max(m_confirmedAcknowledgement, acknowledged);
    m_commands.settleAcknowledgements();
}

bool WorkerSession::isRemovable(absl::Time now) const
{
    return !isListed() && m_runs.empty() && m_withheldRoom.empty() && !m_isPollPending
        && m_commands.lastEffectAt() <= now;
}

void WorkerSession::recordFailedCall(const SessionCall& context, const absl::Status& status, SessionUpdate& update)
{
    const ErrorKind kind = errorKindOf(status);
    m_isUnreachable = kind == ErrorKind::OwnerUnreachable || kind == ErrorKind::PeerGone;
    if (kind == ErrorKind::OwnerUnreachable)
        m_refusedSentAt = std::max(m_refusedSentAt, context.sentAt);
    update.isLost = m_failedCalls == 0;
    ++m_failedCalls;
    // The worker takes no work until it has replied to a poll; what was not sent need not wait for that.
    for (EndedRun& unsent : takeUnsentRuns())
        update.ended.push_back(std::move(unsent));
}

void WorkerSession::recordAnswer(
    const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update)
{
    m_claim.recordReply(context.sentAt);
    if (reply.processStartMs != 0)
        m_commands.settleRepliesBefore(context.sentAt, reply.processStartMs);
    applyProcessStart(reply.processStartMs, now, update.ended);
    // The row may have named a later process before the worker's first reply.
    suspectRestart(m_entry.processStartMs);
    // The reply names no process, so any later one may have sent it.
    if (reply.processStartMs == 0 && m_lease.isClockUnexpected(reply.clock, now))
        suspectRestart(std::max(m_processStartMs, m_suspectedStartMs) + 1);
    const bool isPoll = context.kind == SessionCall::Kind::Poll;
    if (isPoll)
        resolveSuspicion(context);
    if (isPoll && reply.processStartMs != 0)
        m_commands.recordEpochSeen(reply.processStartMs, now);
    // The reply may have been sent by an earlier process, whose clock says nothing about the lease of the present one.
    if (m_isRestartSuspected)
        return;
    if (reply.clock != 0)
        m_lease.recordClock(reply.clock, now);
    // Only the reply to a poll shows what became of the commands that were sent while the worker did not reply.
    if (!isPoll)
        return;
    update.isFound = m_failedCalls > 0 || !m_hasAnswered;
    for (auto& [run, slot] : m_runs)
        slot.unansweredStops = 0;
    m_failedCalls = 0;
    m_isUnreachable = false;
    m_hasAnswered = true;
}

void WorkerSession::handleStartReply(
    const SessionCall& context, const WorkerReply& reply, std::int64_t repliedBy, absl::Time now, SessionUpdate& update)
{
    const auto found = m_runs.find(context.run);
    if (found == m_runs.end())
        return;
    RunSlot& slot = found->second;
    if (reply.refusal != WorkerRefusal::None) {
        m_startsPausedUntil = now + refusalPause;
        // The present process never executes the start, so it is not repeated there; a later one is told to bar it.
        if (reply.refusal == WorkerRefusal::AlreadyEnded && repliedBy != 0 && repliedBy == m_processStartMs) {
            slot.isStopWanted = true;
            slot.isStopConfirmed = true;
            slot.confirmedAt = now;
        }
        dropUnstartedRun(found, EndEvidence::StartRefused, update);
        return;
    }
    // An unanswered start may have been executed before, or may still come.
    slot.isShown = true;
    if (slot.stage == RunSlot::Stage::Starting)
        slot.stage = RunSlot::Stage::Running;
    if (reply.processStartMs != 0)
        slot.processStartMs = reply.processStartMs;
    slot.likelyProcessStartMs = repliedBy;
    if (!slot.isStopConfirmed)
        slot.confirmedAt = now;
    update.confirmedStart = context.run;
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

} // namespace mangohall::batch
