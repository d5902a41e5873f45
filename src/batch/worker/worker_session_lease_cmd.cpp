// The leases that a worker's runs hold, and when a run must be over without a word of its worker.
#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

absl::Duration SessionSettings::longestLease() const
{
    return maxLease * (1 + maxClockDrift) + leaseMargin;
}

void WorkerSession::grantLease(DueCall& due, absl::Time now)
{
    due.call.leaseUntil = m_lease.grant(now);
    due.context.renewsLease = due.call.leaseUntil != 0;
}

// A worker that was draining, has removed its row and has no process at its address is gone, with all its runs. It
// stops accepting connections before it replies to the pending poll, so that poll has to end first. A row that has
// expired shows nothing: a worker that neither the store nor this node reaches runs on.
bool WorkerSession::hasLeft() const
{
    return m_entry.isDraining && m_hasDeregistered && m_isUnreachable && !m_isPollPending;
}

absl::Time WorkerSession::lapsesAt(const RunKey& run, const RunSlot& slot) const
{
    if (slot.stage == RunSlot::Stage::Reserved || slot.pendingStarts > 0)
        return absl::InfiniteFuture();
    return std::min(slot.recordedLapse, std::max(m_lease.bound(), m_commands.foreignLeaseEnd(run, processOf(run))));
}

void WorkerSession::updateHasRecordedLapse()
{
    m_hasRecordedLapse = std::any_of(m_runs.begin(), m_runs.end(),
        [](const auto& entry) { return entry.second.recordedLapse != absl::InfiniteFuture(); });
}

// A pending call may still put off the end, and nothing else is sent to a silent worker that does.
std::vector<std::pair<RunKey, absl::Time>> WorkerSession::lapsesToRecord() const
{
    std::vector<std::pair<RunKey, absl::Time>> lapses;
    if (isReachable() || m_commands.isAnyPending())
        return lapses;
    for (const auto& [run, slot] : m_runs) {
        if (slot.recordedLapse == absl::InfiniteFuture() && mayStillStart(run))
            lapses.emplace_back(run, lapsesAt(run, slot));
    }
    return lapses;
}

void WorkerSession::markLapseRecorded(const RunKey& run, absl::Time lapsesAt)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end())
        found->second.recordedLapse = lapsesAt;
    updateHasRecordedLapse();
}

// One withdrawal for each record: a second one that is written later would pass for that of the next record.
std::vector<RunKey> WorkerSession::takeLapsesToWithdraw()
{
    std::vector<RunKey> runs;
    for (auto& [run, slot] : m_runs) {
        if (slot.recordedLapse != absl::InfiniteFuture() && !std::exchange(slot.isLapseWithdrawalPending, true))
            runs.push_back(run);
    }
    return runs;
}

void WorkerSession::markLapseWithdrawn(const RunKey& run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    found->second.recordedLapse = absl::InfiniteFuture();
    found->second.isLapseWithdrawalPending = false;
    updateHasRecordedLapse();
}

// Without a word of the worker a run is over, and none of its starts can be executed any more,
// - once another worker has taken over the address, since a command to this one is refused there: also if a start is
//   pending;
// - once every lease must have expired that any process of the worker may hold, with the starts that may still come;
// - once the worker has left after it had drained and nobody listens at its address, if no start could come to a later
//   process by then.
absl::optional<EndEvidence> WorkerSession::evidenceOfEnd(const RunKey& run, const RunSlot& slot, absl::Time now) const
{
    if (m_claim.isTakenOver())
        return EndEvidence::AddressTakenOver;
    if (isReachable())
        return absl::nullopt;
    if (now >= lapsesAt(run, slot))
        return EndEvidence::LeaseExpired;
    const bool mayBeExecuted = slot.pendingStarts > 0 || m_commands.startsMayComeUntil(run) > m_refusedSentAt;
    const bool isGone = hasLeft() && !mayBeExecuted && slot.stage != RunSlot::Stage::Reserved;
    return isGone ? absl::make_optional(EndEvidence::WorkerLeft) : absl::nullopt;
}

std::vector<EndedRun> WorkerSession::takeLapsedRuns(absl::Time now)
{
    std::vector<EndedRun> ended;
    if (m_claim.isTakenOver())
        ended = takeUnsentRuns();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const RunSlot& slot = it->second;
        const absl::optional<EndEvidence> evidence = evidenceOfEnd(it->first, slot, now);
        if (!evidence) {
            ++it;
            continue;
        }
        if (slot.stage == RunSlot::Stage::Ended)
            ended.push_back(describeEnd(it->first, slot));
        else
            ended.push_back({ it->first, RunEnd::LeaseLapsed, "", 0, *evidence });
        if (*evidence == EndEvidence::LeaseExpired)
            ended.back().leaseAge = now - m_lease.grantedAt();
        m_commands.settleStarts(it->first);
        it = m_runs.erase(it);
    }
    return ended;
}

} // namespace mangohall::batch
