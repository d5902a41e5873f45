// The leases that a worker's runs hold, and when a run must be over without a word of its worker.
#include "batch/worker/worker_session_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// Added to the latest end of a worker's lease, on top of the clock drift.
constexpr absl::Duration leaseMargin = absl::Milliseconds(300);

} // namespace

absl::Duration SessionSettings::longestLease() const
{
    return maxLease * (1 + maxClockDrift) + leaseMargin;
}

// The lease may be renewed now. Its end is reckoned from the worker's clock when that was last read, and the clock may
// have gone slower since.
void WorkerSession::extendLeaseBound(absl::Time now)
{
    const absl::Duration clockAge = m_clockReadAt == absl::InfinitePast() ? absl::ZeroDuration() : now - m_clockReadAt;
    const absl::Duration drift = (m_grantedLease + clockAge) * maxClockDrift;
    m_leaseBound = std::max(m_leaseBound, now + m_grantedLease + drift + leaseMargin);
}

WorkerMillis WorkerSession::leaseUntil(absl::Time now) const
{
    if (m_clockReadAt == absl::InfinitePast())
        return 0;
    return m_workerClock + absl::ToInt64Milliseconds(now - m_clockReadAt + m_grantedLease);
}

void WorkerSession::grantLease(DueCall& due, absl::Time now)
{
    due.call.leaseUntil = leaseUntil(now);
    due.context.renewsLease = due.call.leaseUntil != 0;
    if (!due.context.renewsLease)
        return;
    m_leaseSentAt = now;
    extendLeaseBound(now);
}

// A worker that was draining, has removed its row and has no process at its address is gone, with all its runs. It
// stops accepting connections before it replies to the pending poll, so that poll has to end first. A row that has
// expired shows nothing: a worker that neither the store nor this node reaches runs on.
bool WorkerSession::hasLeft() const
{
    return m_entry.isDraining && m_hasDeregistered && m_isUnreachable && !m_isPollPending;
}

std::vector<EndedRun> WorkerSession::endAllRuns(EndEvidence evidence)
{
    std::vector<EndedRun> ended = takeUnsentRuns();
    for (const auto& [run, slot] : m_runs) {
        const bool isEndKnown = slot.stage == RunSlot::Stage::Ended;
        ended.push_back(isEndKnown ? describeEnd(run, slot) : EndedRun { run, RunEnd::LeaseLapsed, "", 0, evidence });
        m_commands.settleStarts(run);
    }
    m_runs.clear();
    return ended;
}

absl::Time WorkerSession::lapsesAt(const RunKey& run, const RunSlot& slot) const
{
    if (slot.stage == RunSlot::Stage::Reserved || slot.isStartPending)
        return absl::InfiniteFuture();
    return std::max(m_leaseBound, m_commands.foreignLeaseEnd(run, processOf(run)));
}

std::vector<EndedRun> WorkerSession::takeLapsedRuns(absl::Time now)
{
    if (m_claim.isTakenOver())
        return endAllRuns(EndEvidence::AddressTakenOver);
    std::vector<EndedRun> ended;
    if (isReachable())
        return ended;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const RunSlot& slot = it->second;
        const bool hasLapsed = now >= lapsesAt(it->first, slot);
        const bool isGone = hasLeft() && !mayStillStart(it->first) && slot.stage != RunSlot::Stage::Reserved;
        if (!hasLapsed && !isGone) {
            ++it;
            continue;
        }
        const EndEvidence evidence = hasLapsed ? EndEvidence::LeaseExpired : EndEvidence::WorkerLeft;
        if (slot.stage == RunSlot::Stage::Ended)
            ended.push_back(slot.end);
        else
            ended.push_back({ it->first, RunEnd::LeaseLapsed, "", 0, evidence });
        if (evidence == EndEvidence::LeaseExpired)
            ended.back().leaseAge = now - m_leaseSentAt;
        m_commands.settleStarts(it->first);
        it = m_runs.erase(it);
    }
    return ended;
}

} // namespace mangohall::batch
