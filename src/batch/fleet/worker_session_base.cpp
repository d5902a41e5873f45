#include "batch/fleet/worker_session_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// A worker's clock may be slow by this share, so that its lease lasts longer than ours.
constexpr double clockDrift = 0.025;
constexpr absl::Duration leaseMargin = absl::Milliseconds(300);
// A hundredth of the longest task takes less, also far from its data.
constexpr absl::Duration standstillTime = absl::Milliseconds(1200);

} // namespace

WorkerSession::WorkerSession(WorkerEntry entry, Epoch epoch, SessionSettings settings)
    : m_entry(std::move(entry))
    , m_epoch(epoch)
    , m_settings(settings)
{
}

std::vector<EndedRun> WorkerSession::update(const WorkerEntry& entry, absl::Time now)
{
    std::vector<EndedRun> ended;
    noteProcess(entry.bornMs, ended);
    const std::int64_t bornMs = std::max(m_entry.bornMs, entry.bornMs);
    m_entry = entry;
    m_entry.bornMs = bornMs;
    m_isListed = true;
    // A row may have been on its way for a while, so that a later one does not grant more time.
    m_leavesAt = entry.isDraining ? std::min(m_leavesAt, now + entry.remaining) : absl::InfiniteFuture();
    return ended;
}

// A later process under the same name holds nothing of what its predecessor had.
void WorkerSession::noteProcess(std::int64_t bornMs, std::vector<EndedRun>& ended)
{
    if (bornMs == 0 || bornMs <= m_entry.bornMs)
        return;
    if (m_entry.bornMs != 0) {
        ended = endConfirmed();
        barOpenStarts();
        m_ends.clear();
        m_acknowledgedEnd = 0;
        m_toldAcknowledgedEnd = 0;
        m_isSettled = false;
    }
    m_entry.bornMs = bornMs;
}

// A start that is still on its way reaches a process that knows nothing of the run's end.
void WorkerSession::barOpenStarts()
{
    for (const auto& [run, sentAt] : m_openStarts) {
        RunSlot& slot = m_runs[run];
        slot.stage = RunSlot::Stage::Starting;
        slot.startToldAt = sentAt;
        slot.confirmedAt = absl::InfiniteFuture();
        slot.isStopWanted = true;
        slot.isStopConfirmed = false;
    }
}

// What has not been confirmed may have been started by either process; the next look at the new one tells.
std::vector<EndedRun> WorkerSession::endConfirmed()
{
    std::vector<EndedRun> ended;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        if (it->second.stage != RunSlot::Stage::Running || m_openStarts.contains(it->first)) {
            ++it;
            continue;
        }
        ended.push_back({ it->first, RunEnd::Lapsed, "", 0 });
        it = m_runs.erase(it);
    }
    return ended;
}

std::vector<EndedRun> WorkerSession::endAll(RunEnd end)
{
    std::vector<EndedRun> ended;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        // What the worker was never told of is told once the write is done, and refused there if need be.
        if (it->second.stage == RunSlot::Stage::Reserved) {
            ++it;
            continue;
        }
        ended.push_back({ it->first, end, "", 0 });
        it = m_runs.erase(it);
    }
    return ended;
}

bool WorkerSession::takesWork(absl::Time now) const
{
    return m_isListed && m_isSettled && m_silences == 0 && !m_entry.isDraining && now >= m_refusedUntil;
}

Resources WorkerSession::freeRoom() const
{
    Resources room = m_entry.capacity;
    for (const auto& [run, slot] : m_runs)
        room -= slot.demand;
    return room;
}

Resources WorkerSession::roomAfterStops() const
{
    Resources room = m_entry.capacity;
    for (const auto& [run, slot] : m_runs) {
        if (!slot.isStopWanted)
            room -= slot.demand;
    }
    return room;
}

void WorkerSession::reserve(const RunKey& run, const Resources& demand, absl::Time now)
{
    RunSlot slot;
    slot.demand = demand;
    slot.since = now;
    m_runs[run] = slot;
}

void WorkerSession::release(const RunKey& run, absl::Time now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.stage != RunSlot::Stage::Reserved)
        return;
    found->second.stage = RunSlot::Stage::Starting;
    found->second.since = now;
}

void WorkerSession::adopt(const RunKey& run, const Resources& demand, absl::Time now)
{
    RunSlot slot;
    slot.stage = RunSlot::Stage::Adopted;
    slot.demand = demand;
    slot.since = now;
    m_runs[run] = slot;
    noteLease(now);
}

// Somebody may renew the lease now, or may have just before.
void WorkerSession::noteLease(absl::Time now)
{
    m_leaseBound = std::max(m_leaseBound, now + m_settings.maxLease * (1 + clockDrift) + leaseMargin);
}

absl::optional<EndedRun> WorkerSession::stop(const RunKey& run, absl::Time now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return absl::nullopt;
    RunSlot& slot = found->second;
    const bool isUntold = slot.stage == RunSlot::Stage::Starting && slot.startToldAt == absl::InfinitePast();
    if (slot.stage == RunSlot::Stage::Reserved || isUntold) {
        m_runs.erase(found);
        return EndedRun { run, RunEnd::NotStarted, "", 0 };
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

void WorkerSession::noteDurableEnd(std::int64_t number)
{
    const auto found = m_ends.find(number);
    if (found != m_ends.end())
        found->second = true;
    while (!m_ends.empty() && m_ends.begin()->second) {
        m_acknowledgedEnd = std::max(m_acknowledgedEnd, m_ends.begin()->first);
        m_ends.erase(m_ends.begin());
    }
}

absl::Duration WorkerSession::remainingOf(const RunSlot& slot, absl::Time now)
{
    constexpr std::int32_t leastPercent = 20;
    constexpr std::int32_t wholePercent = 100;
    if (slot.stage != RunSlot::Stage::Running || slot.percent < leastPercent || slot.movedAt == absl::InfiniteFuture())
        return absl::InfiniteDuration();
    const absl::Duration untilThen = (slot.movedAt - slot.since) * (wholePercent - slot.percent) / slot.percent;
    return untilThen - (now - slot.movedAt);
}

std::vector<RunKey> WorkerSession::standingRuns(absl::Time now) const
{
    constexpr std::int32_t wholePercent = 100;
    std::vector<RunKey> standing;
    for (const auto& [run, slot] : m_runs) {
        const bool isWorking
            = slot.stage == RunSlot::Stage::Running && !slot.isStopWanted && slot.percent < wholePercent;
        if (isWorking && now - slot.movedAt >= standstillTime)
            standing.push_back(run);
    }
    return standing;
}

// A worker that drained, is no longer listed and has nobody at its address is gone, and all that it ran with it. It
// stops to take connections before it answers the look that is out.
bool WorkerSession::hasLeft() const
{
    return m_entry.isDraining && !m_isListed && m_isUnreachable && !m_isLookOut;
}

std::vector<EndedRun> WorkerSession::takeLapsed(absl::Time now)
{
    if (m_silences == 0 || (now < m_leaseBound && !hasLeft()))
        return {};
    return endAll(RunEnd::Lapsed);
}

} // namespace mangohall::batch
