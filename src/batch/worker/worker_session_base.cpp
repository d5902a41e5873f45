#include "batch/worker/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// Subtracted from the entry timeout, since workers and the platform keep their intervals only approximately.
constexpr absl::Duration entryTimeoutMargin = absl::Milliseconds(300);

} // namespace

WorkerSession::WorkerSession(WorkerEntry entry, Epoch epoch, SessionSettings settings, absl::Time ownedSince)
    : m_entry(std::move(entry))
    , m_epoch(epoch)
    , m_settings(settings)
    , m_lease(std::min(settings.requestedLease, settings.maxLease), ownedSince + settings.longestLease())
    , m_commands(ownedSince, settings.longestLease())
    , m_pollWait(settings.pollWait)
{
}

void WorkerSession::update(const WorkerEntry& entry, absl::Time reportedAfter, absl::Time now)
{
    // A write of a row may be executed late, so two rows of a process in turn show that it was there at the first one.
    if (entry.processStartMs == m_entry.processStartMs)
        m_commands.recordAlive(entry.processStartMs, m_rowWrittenAfter);
    m_rowWrittenAfter = reportedAfter;
    m_entry = entry;
    m_claim.recordRow(entry.address, entry.processStartMs, now);
    takeProcessEntry();
    suspectRestart(entry.processStartMs);
    m_isListed = true;
    m_hasDeregistered = false;
    m_reportedAfter = std::max(m_reportedAfter, reportedAfter);
    // A row may arrive late, so a later row does not extend the time that is left.
    m_leavesAt = entry.isDraining ? std::min(m_leavesAt, now + entry.remaining) : absl::InfiniteFuture();
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

std::vector<EndedRun> WorkerSession::takeUnsentRuns()
{
    std::vector<EndedRun> ended;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        if (!it->second.isUnsent()) {
            ++it;
            continue;
        }
        ended.push_back({ it->first, RunEnd::NotStarted, "", 0, EndEvidence::NeverSent });
        it = m_runs.erase(it);
    }
    return ended;
}

WorkerAvailability WorkerSession::availability(absl::Time now) const
{
    if (!isListed())
        return WorkerAvailability::Unlisted;
    if (!isProcessCertain() || !m_processEntry)
        return WorkerAvailability::Silent;
    if (isClosedToStarts())
        return WorkerAvailability::Closed;
    const absl::Time from = std::max(m_startsPausedUntil, m_commands.unansweredAcknowledgementUntil());
    return now >= from && !hasRecordedLapse() ? WorkerAvailability::Available : WorkerAvailability::Paused;
}

bool WorkerSession::isRunning(const RunKey& run) const
{
    const auto found = m_runs.find(run);
    return isReachable() && found != m_runs.end() && found->second.stage == RunSlot::Stage::Running;
}

Resources WorkerSession::freeCapacity() const
{
    Resources capacity = entry().capacity;
    for (const auto& [run, slot] : m_runs)
        capacity -= slot.demand;
    for (const auto& [run, demand] : m_withheldRoom)
        capacity -= demand;
    return capacity;
}

bool WorkerSession::isOvercommitted() const
{
    Resources capacity = entry().capacity;
    for (const auto& [run, slot] : m_runs)
        capacity -= slot.demand;
    return capacity.cpuMillis < 0 || capacity.memoryBytes < 0 || capacity.accelerators < 0;
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

void WorkerSession::adopt(const RunKey& run, const Resources& demand, const WorkerProcess& placedOn, bool isStarted,
    absl::Time now, std::int64_t lapsesByMs)
{
    RunSlot slot;
    slot.stage = RunSlot::Stage::Adopted;
    slot.demand = demand;
    slot.since = now;
    slot.startSentAt = now;
    slot.placedProcessStartMs = placedOn.startMs;
    if (lapsesByMs != 0)
        slot.recordedLapse = absl::FromUnixMillis(lapsesByMs) + OutstandingCommands::maxTimeOfDayError;
    if (placedOn.earlierCommandsUntilMs != 0)
        m_commands.recordEarlierCommandsUntil(placedOn.startMs, absl::FromUnixMillis(placedOn.earlierCommandsUntilMs));
    if (isStarted) {
        slot.confirmedAt = absl::InfinitePast();
        slot.likelyProcessStartMs = placedOn.startMs;
    } else {
        m_commands.recordStartsOfEarlierOwner(
            run, now, slot.recordedLapse - m_settings.longestLease(), placedOn.startMs);
    }
    m_runs[run] = slot;
    m_hasRecordedLapse = m_hasRecordedLapse || lapsesByMs != 0;
    // An earlier owner may have granted the longest lease just before.
    m_lease.extendTo(now + m_settings.longestLease());
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
    m_lease.extendTo(now + m_settings.longestLease());
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

bool WorkerSession::isAboutToEnd(const RunSlot& slot, absl::Duration within, absl::Time now)
{
    // Progress is reported in whole percents, so the expected end may be too early.
    constexpr absl::Duration longestOverrun = absl::Milliseconds(600);
    const absl::Duration remaining = remainingTime(slot, now);
    return remaining <= within && remaining >= -longestOverrun;
}

} // namespace mangohall::batch
