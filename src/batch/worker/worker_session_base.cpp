#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// A worker's clock may be slow by this share, so its lease may last longer on the owner's clock.
constexpr double clockDrift = 0.025;
// Added to the latest end of a worker's lease, on top of the clock drift.
constexpr absl::Duration leaseMargin = absl::Milliseconds(300);
// Subtracted from the entry timeout, since workers and the platform keep their intervals only approximately.
constexpr absl::Duration entryTimeoutMargin = absl::Milliseconds(300);
// Replies of one process show clocks that differ from the expected one by less than this, on top of the clock drift:
// they are delayed, and overtake each other.
constexpr absl::Duration clockTolerance = absl::Milliseconds(500);

// The longest time for which a worker's lease lasts after it was granted, on the owner's clock.
absl::Duration longestLeaseOf(const SessionSettings& settings)
{
    return settings.maxLease * (1 + clockDrift) + leaseMargin;
}

} // namespace

WorkerSession::WorkerSession(WorkerEntry entry, Epoch epoch, SessionSettings settings, absl::Time ownedSince)
    : m_entry(std::move(entry))
    , m_epoch(epoch)
    , m_settings(settings)
    , m_grantedLease(std::min(settings.requestedLease, settings.maxLease))
    , m_leaseBound(ownedSince + longestLeaseOf(settings))
    , m_commands(ownedSince, longestLeaseOf(settings))
    , m_pollWait(settings.pollWait)
{
}

void WorkerSession::update(const WorkerEntry& entry, absl::Time reportedAfter, absl::Time now)
{
    m_entry = entry;
    takeProcessEntry();
    suspectRestart(entry.processStartMs);
    m_isListed = true;
    m_hasDeregistered = false;
    m_reportedAfter = std::max(m_reportedAfter, reportedAfter);
    // A row may arrive late, so a later row does not extend the time that is left.
    m_leavesAt = entry.isDraining ? std::min(m_leavesAt, now + entry.remaining) : absl::InfiniteFuture();
}

void WorkerSession::takeProcessEntry()
{
    if (m_entry.processStartMs == m_processStartMs)
        m_processEntry = m_entry;
}

// An unreadable row may come from another writer, so it does not show that the worker has left.
void WorkerSession::markUnlisted()
{
    m_isListed = false;
    m_hasDeregistered = false;
}

// A row that is removed sooner after a report than it can expire was removed by the worker itself.
void WorkerSession::markRemoved(absl::Time now)
{
    if (m_isListed)
        m_hasDeregistered = now - m_reportedAfter < m_settings.entryTimeout - entryTimeoutMargin;
    m_isListed = false;
}

std::int64_t WorkerSession::calledProcessStart() const
{
    if (m_isRestartSuspected)
        return m_suspectedStartMs;
    return m_processStartMs != 0 ? m_processStartMs : m_entry.processStartMs;
}

// Each process has a clock of its own, and only the reply to a poll names the process. A process that was suspended has
// an unexpected clock as well.
bool WorkerSession::isClockUnexpected(WorkerMillis clock, absl::Time now) const
{
    if (clock == 0 || m_clockReadAt == absl::InfinitePast())
        return false;
    const absl::Duration elapsed = now - m_clockReadAt;
    const absl::Duration difference = absl::Milliseconds(clock - m_workerClock) - elapsed;
    return absl::AbsDuration(difference) > clockTolerance + elapsed * clockDrift;
}

// A start that the worker has not confirmed when it was asked is not asked about again.
void WorkerSession::suspectRestart(std::int64_t processStartMs)
{
    if (m_processStartMs == 0 || processStartMs <= m_processStartMs || processStartMs == m_suspectedStartMs)
        return;
    m_suspectedStartMs = processStartMs;
    m_isRestartSuspected = true;
    m_hasAnswered = false;
    m_workerClock = 0;
    m_clockReadAt = absl::InfinitePast();
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
        m_workerClock = 0;
        m_clockReadAt = absl::InfinitePast();
    }
    m_processStartMs = processStartMs;
    m_processEntry.reset();
    takeProcessEntry();
    if (processStartMs >= m_suspectedStartMs)
        m_isRestartSuspected = false;
}

void WorkerSession::endUnsentRuns(std::vector<EndedRun>& ended)
{
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        if (!it->second.isUnsent()) {
            ++it;
            continue;
        }
        ended.push_back({ it->first, RunEnd::NotStarted, "", 0, EndEvidence::NeverSent });
        it = m_runs.erase(it);
    }
}

// Only runs that the old process has shown are known to have ended with it. Either process may have executed the start
// of any other run, whose confirmation need not name the process; the next poll of the new process decides, unless a
// start may still be executed. What was placed by the row of the old process and not sent yet may not fit the new one.
std::vector<EndedRun> WorkerSession::endRunsOfEarlierProcess()
{
    std::vector<EndedRun> ended;
    endUnsentRuns(ended);
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

bool WorkerSession::acceptsWork(absl::Time now) const
{
    const absl::Time from = std::max(m_startsPausedUntil, m_commands.unansweredAcknowledgementUntil());
    return m_isListed && isProcessCertain() && m_processEntry && !m_entry.isDraining && now >= from;
}

Resources WorkerSession::freeCapacity() const
{
    Resources capacity = entry().capacity;
    for (const auto& [run, slot] : m_runs)
        capacity -= slot.demand;
    return capacity;
}

Resources WorkerSession::freeCapacityAfterStops() const
{
    Resources capacity = entry().capacity;
    for (const auto& [run, slot] : m_runs) {
        if (!slot.isStopWanted || mayStillStart(run))
            capacity -= slot.demand;
    }
    return capacity;
}

void WorkerSession::reserve(const RunKey& run, const Resources& demand, absl::Time now)
{
    RunSlot slot;
    slot.demand = demand;
    slot.since = now;
    slot.placedProcessStartMs = m_processStartMs;
    m_runs[run] = slot;
}

void WorkerSession::release(const RunKey& run, absl::Time now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.stage != RunSlot::Stage::Reserved)
        return;
    found->second.stage = RunSlot::Stage::Starting;
    found->second.since = now;
    found->second.begunAt = now;
}

void WorkerSession::adopt(
    const RunKey& run, const Resources& demand, const WorkerProcess& placedOn, bool isStarted, absl::Time now)
{
    RunSlot slot;
    slot.stage = RunSlot::Stage::Adopted;
    slot.demand = demand;
    slot.since = now;
    slot.startSentAt = now;
    slot.placedProcessStartMs = placedOn.startMs;
    if (placedOn.earlierCommandsUntilMs != 0)
        m_commands.recordEarlierCommandsUntil(placedOn.startMs, absl::FromUnixMillis(placedOn.earlierCommandsUntilMs));
    if (isStarted) {
        slot.confirmedAt = absl::InfinitePast();
        slot.likelyProcessStartMs = placedOn.startMs;
    } else {
        m_commands.recordStartsOfEarlierOwner(run, now);
    }
    m_runs[run] = slot;
    // An earlier owner may have granted the longest lease just before.
    m_leaseBound = std::max(m_leaseBound, now + longestLeaseOf(m_settings));
}

void WorkerSession::adoptDone(const RunKey& run, const Resources& demand, absl::Time now)
{
    RunSlot slot;
    slot.stage = RunSlot::Stage::Ended;
    slot.demand = demand;
    slot.since = now;
    slot.end = { run, RunEnd::Done, "", 0, EndEvidence::Listed };
    m_commands.recordStartsOfEarlierOwner(run, now);
    m_runs[run] = slot;
    // An earlier owner may have granted the longest lease just before.
    m_leaseBound = std::max(m_leaseBound, now + longestLeaseOf(m_settings));
}

// The lease may be renewed now. Its end is reckoned from the worker's clock when that was last read, and the clock may
// have gone slower since.
void WorkerSession::extendLeaseBound(absl::Time now)
{
    const absl::Duration clockAge = m_clockReadAt == absl::InfinitePast() ? absl::ZeroDuration() : now - m_clockReadAt;
    const absl::Duration drift = (m_grantedLease + clockAge) * clockDrift;
    m_leaseBound = std::max(m_leaseBound, now + m_grantedLease + drift + leaseMargin);
}

absl::optional<EndedRun> WorkerSession::stop(const RunKey& run, absl::Time now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return absl::nullopt;
    RunSlot& slot = found->second;
    if (slot.isUnsent()) {
        m_runs.erase(found);
        return EndedRun { run, RunEnd::NotStarted, "", 0, EndEvidence::NeverSent };
    }
    if (!slot.isStopWanted) {
        slot.isStopWanted = true;
        slot.since = now;
    }
    return absl::nullopt;
}

void WorkerSession::setDemand(const RunKey& run, const Resources& demand)
{
    const auto found = m_runs.find(run);
    if (found != m_runs.end())
        found->second.demand = demand;
}

bool WorkerSession::isStopWanted(const RunKey& run) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end() && found->second.isStopWanted;
}

void WorkerSession::markEndDurable(std::int64_t number)
{
    const auto found = m_listedEnds.find(number);
    if (found != m_listedEnds.end())
        found->second = true;
    while (!m_listedEnds.empty() && m_listedEnds.begin()->second) {
        m_acknowledgedEnd = std::max(m_acknowledgedEnd, m_listedEnds.begin()->first);
        m_listedEnds.erase(m_listedEnds.begin());
    }
}

absl::Duration WorkerSession::remainingTime(const RunSlot& slot, absl::Time now)
{
    constexpr std::int32_t minPercent = 20;
    constexpr std::int32_t wholePercent = 100;
    if (slot.stage != RunSlot::Stage::Running || slot.percent < minPercent
        || slot.percentChangedAt == absl::InfiniteFuture())
        return absl::InfiniteDuration();
    const absl::Duration untilThen
        = (slot.percentChangedAt - slot.since) * (wholePercent - slot.percent) / slot.percent;
    return untilThen - (now - slot.percentChangedAt);
}

// A worker that was draining, has removed its row and has no process at its address is gone, with all its runs. It
// stops accepting connections before it replies to the pending poll, so that poll has to end first. A row that has
// expired shows nothing: a worker that neither the store nor this node reaches runs on.
bool WorkerSession::hasLeft() const
{
    return m_entry.isDraining && m_hasDeregistered && m_isUnreachable && !m_isPollPending;
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

absl::Time WorkerSession::lapsesAt(const RunKey& run, const RunSlot& slot) const
{
    if (slot.stage == RunSlot::Stage::Reserved || slot.isStartPending)
        return absl::InfiniteFuture();
    return std::max(m_leaseBound, m_commands.foreignLeaseEnd(run, processOf(run)));
}

std::vector<EndedRun> WorkerSession::takeLapsedRuns(absl::Time now)
{
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
