// Which commands are sent to a worker and when, and for how long its lease is renewed.
#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// A start that is not confirmed within this time is stopped instead of being repeated.
constexpr absl::Duration startConfirmationTimeout = absl::Seconds(8);
// How often that delay doubles for stops: up to 4 s.
constexpr int maxStopDoublings = 4;
// A start that is lost is not waited for until its call times out: it is sent again beside it, up to this often.
// Members of a gang wait for each other for a few seconds only.
constexpr int maxPendingStartsOfRun = 4;
// A worker that gets more starts at the same time may not reply to all of them in time.
constexpr int maxPendingStarts = 32;
// Interval between polls of a worker that does not reply.
constexpr absl::Duration unreachablePollPeriod = absl::Milliseconds(500);
// How long the next poll waits for listed ends to become durable, so that it can acknowledge them.
constexpr absl::Duration durableEndTimeout = absl::Milliseconds(600);
// The same for a draining worker, which may exit as soon as its last run has ended.
constexpr absl::Duration drainingPollPeriod = absl::Milliseconds(50);
// How long a poll that could acknowledge ends waits for the replies to starts, and the pause between such polls: each
// lists the same ends, so the worker does not hold it open.
constexpr absl::Duration startReplyTimeout = absl::Milliseconds(100);
// Interval between polls while an end is not acknowledged since the outcome of a start is unknown, for the same reason.
constexpr absl::Duration heldAcknowledgementPollPeriod = absl::Milliseconds(250);
// Interval between polls while the record of a run keeps the lease from being renewed.
constexpr absl::Duration recordedLapsePollPeriod = absl::Milliseconds(50);
// How long the last acknowledgement of an idle worker waits for another reason to poll.
constexpr absl::Duration idleAcknowledgementDelay = absl::Milliseconds(700);

} // namespace

// The delay doubles with each stop without a reply, so that few arrive together at a worker that was cut off.
absl::Duration WorkerSession::stopRetryPeriod(int unansweredStops)
{
    const int doublings = std::min(unansweredStops, maxStopDoublings);
    return commandRetryPeriod * (1 << doublings);
}

bool WorkerSession::hasLiveRuns() const
{
    return std::any_of(
        m_runs.begin(), m_runs.end(), [](const auto& entry) { return entry.second.stage != RunSlot::Stage::Reserved; });
}

absl::Time WorkerSession::nextSettlement() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_commands.mayStartAny())
        return next;
    for (const auto& [run, slot] : m_runs) {
        const absl::Time until = m_commands.startsMayComeUntil(run);
        if (slot.pendingStarts == 0 && until != absl::InfinitePast())
            next = std::min(next, until);
    }
    return next;
}

absl::Time WorkerSession::nextPollAt() const
{
    const absl::Time usual = nextUsualPollAt();
    const absl::Time settlement = usual == absl::InfiniteFuture() ? usual : nextSettlement();
    return settlement > m_polledAt ? std::min(usual, settlement) : usual;
}

absl::Time WorkerSession::nextUsualPollAt() const
{
    if (m_isPollPending || !hasAddress() || m_claim.isTakenOver())
        return absl::InfiniteFuture();
    if (m_failedCalls > 0) {
        // A worker that does not reply, is no longer listed and runs nothing is not polled any more.
        return m_isListed || hasLiveRuns() ? m_polledAt + unreachablePollPeriod : absl::InfiniteFuture();
    }
    // A lease that is not renewed yet is renewed soon, so the worker does not hold the poll open.
    if (m_hasAnswered && hasRecordedLapse())
        return m_polledAt + recordedLapsePollPeriod;
    if (!m_hasAnswered)
        return m_isListed || hasLiveRuns() ? m_polledAt : absl::InfiniteFuture();
    if (!m_listedEnds.empty())
        return m_polledAt + (m_entry.isDraining && hasLiveRuns() ? drainingPollPeriod : durableEndTimeout);
    if (hasLiveRuns() && !isAcknowledgementHeldBack())
        return m_polledAt;
    if (hasLiveRuns()) {
        const absl::Time pendingSince = firstPendingStartSentAt();
        return pendingSince == absl::InfiniteFuture() ? m_polledAt + heldAcknowledgementPollPeriod
                                                      : std::max(m_polledAt, pendingSince) + startReplyTimeout;
    }
    if (m_acknowledgedEnd > m_confirmedAcknowledgement)
        return m_polledAt + idleAcknowledgementDelay;
    return absl::InfiniteFuture();
}

bool WorkerSession::isPollDue(absl::Time now) const
{
    return nextPollAt() <= now;
}

absl::Duration WorkerSession::nextPollWait(absl::Time now) const
{
    // Starts wait for the reply to an acknowledgement.
    const bool mayWait = isProcessCertain() && !hasRecordedLapse() && m_listedEnds.empty() && hasLiveRuns()
        && nextAcknowledgement() == 0;
    // After a stop that was confirmed since the last poll there may be no end to wait for.
    const bool isPollAwaited = std::any_of(m_runs.begin(), m_runs.end(),
        [this](const auto& entry) { return entry.second.isStopConfirmed && entry.second.confirmedAt >= m_polledAt; });
    if (!mayWait || isPollAwaited)
        return absl::ZeroDuration();
    // The list that settles a start in doubt is asked for once the start cannot be executed any more.
    const absl::Duration untilSettlement = std::max(absl::ZeroDuration(), nextSettlement() - now);
    // The runs of a draining worker have to be reviewed often.
    return std::min(m_entry.isDraining ? m_settings.pollWait : m_pollWait, untilSettlement);
}

absl::Time WorkerSession::commandDueAt(const RunSlot& slot) const
{
    if (!hasAddress() || m_claim.isTakenOver())
        return absl::InfiniteFuture();
    // A stop does not wait for the reply to the start: it bars a start that has not arrived.
    if (slot.isStopWanted) {
        const bool isDone = slot.isStopPending || slot.isStopConfirmed || slot.end.number != 0;
        return isDone ? absl::InfiniteFuture() : slot.stopSentAt + stopRetryPeriod(slot.unansweredStops);
    }
    const absl::Time due = startDueAt(slot);
    return m_startRoom == 0 && due <= m_callsTakenAt ? absl::InfiniteFuture() : due;
}

bool WorkerSession::isStartLeftOut() const
{
    return m_startRoom == 0 && std::any_of(m_runs.begin(), m_runs.end(), [this](const auto& entry) {
        return !entry.second.isStopWanted && startDueAt(entry.second) <= m_callsTakenAt;
    });
}

absl::Time WorkerSession::startDueAt(const RunSlot& slot) const
{
    if (!hasAddress() || m_claim.isTakenOver())
        return absl::InfiniteFuture();
    // A start renews the lease, so none is sent to a worker that does not reply: its lease has to expire.
    const bool mayStart = m_mayStart && isProcessCertain() && m_processEntry && !isAcknowledgementPending()
        && !isClosedToStarts() && m_pendingStarts < maxPendingStarts && !hasRecordedLapse();
    if (slot.stage != RunSlot::Stage::Starting || slot.pendingStarts >= maxPendingStartsOfRun || !mayStart)
        return absl::InfiniteFuture();
    // Of an adopted run it is unknown whether it has been started, so one more start may exceed the capacity.
    if (isOvercommitted())
        return absl::InfiniteFuture();
    // The next process would forget the end of the run for an acknowledgement that comes late.
    const absl::Time acknowledgedBy = m_commands.unansweredAcknowledgementUntil();
    if (slot.isUnsent())
        return acknowledgedBy;
    // Another process may have other room.
    if (slot.placedProcessStartMs != m_processStartMs)
        return absl::InfiniteFuture();
    return std::max({ slot.startSentAt + m_startRetryPeriod, m_startsPausedUntil, acknowledgedBy });
}

// A start that the worker has not confirmed may still be executed, so it is barred by a stop.
void WorkerSession::barUnconfirmedStarts(absl::Time now)
{
    if (!isClosedToStarts())
        return;
    for (auto& [run, slot] : m_runs) {
        if (slot.stage != RunSlot::Stage::Starting || slot.pendingStarts > 0 || slot.isStopWanted)
            continue;
        slot.isStopWanted = true;
        slot.since = now;
    }
}

// Each repetition may be executed for a while, so that a start which is repeated for ever would never be settled.
void WorkerSession::giveUpStarts(absl::Time now)
{
    for (auto& [run, slot] : m_runs) {
        const bool isOverdue = slot.stage == RunSlot::Stage::Starting && !slot.isStopWanted && !slot.isUnsent()
            && now - slot.since >= startConfirmationTimeout;
        if (!isOverdue || !mayStillStart(run))
            continue;
        slot.isStopWanted = true;
        slot.isGivenUp = true;
        slot.since = now;
    }
}

std::vector<DueCall> WorkerSession::takeDueCalls(absl::Time now)
{
    barUnconfirmedStarts(now);
    giveUpStarts(now);
    // Runs may have ended since.
    if (m_hasRecordedLapse)
        updateHasRecordedLapse();
    m_commands.expire(now);
    m_callsTakenAt = now;
    std::vector<DueCall> calls;
    for (auto& [run, slot] : m_runs) {
        if (commandDueAt(slot) > now)
            continue;
        const auto kind = slot.isStopWanted ? SessionCall::Kind::Stop : SessionCall::Kind::Start;
        const bool isRepeated = !slot.isStopWanted && !slot.isUnsent();
        if (kind == SessionCall::Kind::Start) {
            --m_startRoom;
            if (!isRepeated)
                slot.since = now;
            slot.startSentAt = now;
            ++slot.pendingStarts;
            ++m_pendingStarts;
        } else {
            slot.stopSentAt = now;
            slot.isStopPending = true;
        }
        calls.push_back(makeRunCall(kind, run, now));
        calls.back().context.isRepeated = isRepeated;
        slot.isStartRepeated = slot.isStartRepeated || isRepeated;
        calls.back().context.isGivenUp = std::exchange(slot.isGivenUp, false);
    }
    if (isPollDue(now))
        calls.push_back(makePoll(now));
    return calls;
}

absl::Time WorkerSession::nextDue() const
{
    absl::Time due = nextPollAt();
    for (const auto& [run, slot] : m_runs)
        due = std::min(due, commandDueAt(slot));
    for (const auto& [run, slot] : m_runs) {
        if (!isReachable())
            due = std::min(due, lapsesAt(run, slot));
    }
    // An unlisted worker is removed then.
    const bool isIdle = m_runs.empty() && m_withheldRoom.empty() && !m_isPollPending;
    if (!isListed() && isIdle && m_commands.lastEffectAt() != absl::InfinitePast())
        due = std::min(due, m_commands.lastEffectAt());
    return due;
}

WorkerCall WorkerSession::makeCall(absl::Duration timeout) const
{
    WorkerCall call;
    call.worker = m_entry.name;
    call.address = m_entry.address;
    call.epoch = m_epoch;
    call.timeout = timeout;
    return call;
}

DueCall WorkerSession::makeRunCall(SessionCall::Kind kind, const RunKey& run, absl::Time now)
{
    DueCall due { { kind, run, now, calledProcessStart() }, makeCall(commandCallTimeout) };
    if (kind == SessionCall::Kind::Stop) {
        due.call.command = StopRun { run };
        m_commands.recordSent(due.context);
        return due;
    }
    due.call.command = StartRun { run, "", "" };
    grantLease(due, now);
    m_commands.recordSent(due.context);
    return due;
}

absl::Time WorkerSession::firstPendingStartSentAt() const
{
    absl::Time sentAt = absl::InfiniteFuture();
    for (const auto& [run, slot] : m_runs) {
        if (slot.pendingStarts > 0)
            sentAt = std::min(sentAt, slot.startSentAt);
    }
    return sentAt;
}

bool WorkerSession::isAcknowledgementHeldBack() const
{
    const bool isHeldBack = m_commands.mayStartAny() || m_commands.mayAnyBeExecuted();
    return isHeldBack && m_acknowledgedEnd > m_confirmedAcknowledgement;
}

// Another process counts its ends anew: it would forget ends that nobody has heard of for the acknowledgement of ends
// of the present one. So an acknowledgement and a start are never both without a reply: either waits until it is known
// what became of the other.
std::int64_t WorkerSession::nextAcknowledgement() const
{
    const bool mayAcknowledge = isProcessCertain() && !isAcknowledgementHeldBack();
    return mayAcknowledge && m_acknowledgedEnd > m_confirmedAcknowledgement ? m_acknowledgedEnd : 0;
}

DueCall WorkerSession::makePoll(absl::Time now)
{
    const absl::Duration wait = nextPollWait(now);
    DueCall due { { SessionCall::Kind::Poll, RunKey(), now, calledProcessStart() },
        makeCall(wait + commandCallTimeout) };
    m_sentAcknowledgedEnd = nextAcknowledgement();
    due.call.command = PollRuns { m_sentAcknowledgedEnd, wait };
    // The lease of a worker that does not reply is not renewed, so that it expires: the renewal might arrive even
    // though the reply does not.
    // Neither does a poll that settles a start: without a reply a later process may have executed the start, and then
    // the renewal.
    if (m_failedCalls == 0 && !hasRecordedLapse() && nextSettlement() > now)
        grantLease(due, now);
    due.context.wait = wait;
    due.context.acknowledgedEnd = m_sentAcknowledgedEnd;
    m_commands.recordSent(due.context);
    m_isPollPending = true;
    m_polledAt = now;
    return due;
}

} // namespace mangohall::batch
