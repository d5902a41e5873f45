// What a worker is asked and when, and how long its lease is renewed for.
#include "batch/fleet/worker_session_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

constexpr absl::Duration callTimeout = absl::Milliseconds(800);
// Before a command without an answer is sent again.
constexpr absl::Duration commandRetryPeriod = absl::Milliseconds(250);
// A worker that does not answer is asked this often.
constexpr absl::Duration silentLookPeriod = absl::Milliseconds(500);
// How long an end may wait for its write before the worker is looked at without it.
constexpr absl::Duration durableEndPatience = absl::Milliseconds(600);
// How long the last acknowledgement waits for another reason to look.
constexpr absl::Duration idleAcknowledgementDelay = absl::Milliseconds(700);

} // namespace

bool WorkerSession::hasLiveRuns() const
{
    return std::any_of(
        m_runs.begin(), m_runs.end(), [](const auto& entry) { return entry.second.stage != RunSlot::Stage::Reserved; });
}

absl::Time WorkerSession::lookDueAt() const
{
    if (m_isLookOut)
        return absl::InfiniteFuture();
    if (m_silences > 0) {
        // A silent worker that is no longer listed and runs nothing is not asked any more.
        return m_isListed || hasLiveRuns() ? m_lookedAt + silentLookPeriod : absl::InfiniteFuture();
    }
    if (!m_isSettled)
        return m_isListed || hasLiveRuns() ? m_lookedAt : absl::InfiniteFuture();
    if (!m_ends.empty())
        return m_lookedAt + durableEndPatience;
    if (hasLiveRuns())
        return m_lookedAt;
    if (m_acknowledgedEnd > m_toldAcknowledgedEnd)
        return m_lookedAt + idleAcknowledgementDelay;
    return absl::InfiniteFuture();
}

bool WorkerSession::isLookDue(absl::Time now) const
{
    return lookDueAt() <= now;
}

absl::Duration WorkerSession::nextLookWait() const
{
    const bool mayWait = m_isSettled && m_silences == 0 && m_ends.empty() && hasLiveRuns();
    // A stop that was confirmed since the last look may leave no end to wait for.
    const bool isStopNew = std::any_of(m_runs.begin(), m_runs.end(),
        [this](const auto& entry) { return entry.second.isStopConfirmed && entry.second.confirmedAt >= m_lookedAt; });
    if (!mayWait || isStopNew)
        return absl::ZeroDuration();
    return m_settings.lookWait;
}

absl::Time WorkerSession::dueAt(const RunSlot& slot) const
{
    // A stop does not wait for the answer to a start: it bars one that has not arrived.
    if (slot.isStopWanted)
        return slot.isStopOut || slot.isStopConfirmed ? absl::InfiniteFuture() : slot.stopToldAt + commandRetryPeriod;
    // Each start renews the lease, which is left to lapse while the worker is silent.
    if (slot.stage == RunSlot::Stage::Starting && m_isSettled && m_silences == 0 && !slot.isStartOut)
        return slot.startToldAt + commandRetryPeriod;
    return absl::InfiniteFuture();
}

std::vector<DueCall> WorkerSession::takeDueCalls(absl::Time now)
{
    std::vector<DueCall> calls;
    for (auto& [run, slot] : m_runs) {
        if (dueAt(slot) > now)
            continue;
        const auto kind = slot.isStopWanted ? SessionCall::Kind::Stop : SessionCall::Kind::Start;
        (slot.isStopWanted ? slot.stopToldAt : slot.startToldAt) = now;
        (slot.isStopWanted ? slot.isStopOut : slot.isStartOut) = true;
        calls.push_back(makeRunCall(kind, run, now));
    }
    if (isLookDue(now))
        calls.push_back(makeLook(now));
    return calls;
}

absl::Time WorkerSession::nextDue() const
{
    absl::Time due = lookDueAt();
    for (const auto& [run, slot] : m_runs)
        due = std::min(due, dueAt(slot));
    if (m_silences > 0 && hasLiveRuns())
        due = std::min(due, m_leaseBound);
    return due;
}

WorkerMillis WorkerSession::leaseUntil(absl::Time now) const
{
    if (m_clockReadAt == absl::InfinitePast())
        return 0;
    return m_clock + absl::ToInt64Milliseconds(now - m_clockReadAt + m_settings.maxLease);
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
    DueCall due { { kind, run, now, m_entry.bornMs }, makeCall(callTimeout) };
    if (kind == SessionCall::Kind::Stop) {
        due.call.command = StopRun { run };
        return due;
    }
    due.call.command = StartRun { run, "", "" };
    due.call.leaseUntil = leaseUntil(now);
    noteLease(now);
    return due;
}

DueCall WorkerSession::makeLook(absl::Time now)
{
    const absl::Duration wait = nextLookWait();
    DueCall due { { SessionCall::Kind::Look, RunKey(), now, m_entry.bornMs }, makeCall(wait + callTimeout) };
    due.call.command = Look { m_acknowledgedEnd, wait };
    // The lease of a silent worker is left to lapse: a renewal may arrive though its answer does not.
    if (m_silences == 0)
        due.call.leaseUntil = leaseUntil(now);
    if (hasLiveRuns() && due.call.leaseUntil != 0)
        noteLease(now);
    m_toldAcknowledgedEnd = m_acknowledgedEnd;
    m_isLookOut = true;
    m_lookedAt = now;
    return due;
}

} // namespace mangohall::batch
