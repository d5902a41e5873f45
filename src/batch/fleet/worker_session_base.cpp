#include "batch/fleet/worker_session_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

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
// A worker's clock may be slow by this share, so that its lease lasts longer than ours.
constexpr double clockDrift = 0.025;
// A worker that has refused a start is left alone for so long.
constexpr absl::Duration refusalPause = absl::Milliseconds(700);
// A call without an answer is carried out within this time or never.
constexpr absl::Duration longestLateness = absl::Seconds(14);
// A hundredth of the longest task takes less, also far from its data.
constexpr absl::Duration standstillTime = absl::Milliseconds(1200);
constexpr absl::Duration leaseMargin = absl::Milliseconds(300);
// A worker lists at most this many ends at a time; a full list says nothing of what is not on it.
constexpr std::size_t fullEndList = 500;

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

std::int32_t WorkerSession::runsOfStep(const RunKey& like) const
{
    std::int32_t count = 0;
    for (const auto& [run, slot] : m_runs) {
        const TaskRef& task = run.task.task;
        if (run.task.job == like.task.job && task.occurrence == like.task.task.occurrence
            && task.step == like.task.task.step)
            ++count;
    }
    return count;
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
    // The earlier owner may have renewed the lease until just now.
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
    m_leaseBound = std::max(m_leaseBound, now + m_settings.maxLease * (1 + clockDrift) + leaseMargin);
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
        m_leaseBound = std::max(m_leaseBound, now + m_settings.maxLease * (1 + clockDrift) + leaseMargin);
    m_toldAcknowledgedEnd = m_acknowledgedEnd;
    m_isLookOut = true;
    m_lookedAt = now;
    return due;
}

SessionNews WorkerSession::takeReply(const SessionCall& about, const WorkerReply& reply, absl::Time now)
{
    SessionNews news;
    if (about.kind == SessionCall::Kind::Look)
        m_isLookOut = false;
    const auto slot = m_runs.find(about.run);
    if (about.kind == SessionCall::Kind::Start && slot != m_runs.end())
        slot->second.isStartOut = false;
    if (about.kind == SessionCall::Kind::Stop && slot != m_runs.end())
        slot->second.isStopOut = false;
    const bool isLookRefused = about.kind == SessionCall::Kind::Look && reply.refusal != WorkerRefusal::None;
    if (reply.refusal == WorkerRefusal::Fenced) {
        news.isFenced = true;
        return news;
    }
    if (!reply.status.ok() || reply.refusal == WorkerRefusal::OtherProcess || isLookRefused) {
        if (about.kind == SessionCall::Kind::Start && !reply.status.ok())
            noteOpenStart(about, now);
        noteSilence(reply.status, news);
        return news;
    }
    // An answer that a former process of the name gave.
    if (reply.bornMs != 0 && reply.bornMs < m_entry.bornMs)
        return news;
    noteAnswer(about, reply, now, news);
    switch (about.kind) {
    case SessionCall::Kind::Start:
        takeStartReply(about, reply, now, news);
        break;
    case SessionCall::Kind::Stop:
        takeStopReply(about, reply, now);
        break;
    case SessionCall::Kind::Look:
        takeLookReply(about, reply, now, news);
        break;
    }
    return news;
}

void WorkerSession::noteOpenStart(const SessionCall& about, absl::Time now)
{
    m_openStarts[about.run] = about.sentAt;
    for (auto it = m_openStarts.begin(); it != m_openStarts.end();) {
        if (it->second + longestLateness < now)
            it = m_openStarts.erase(it);
        else
            ++it;
    }
    const auto slot = m_runs.find(about.run);
    if (slot != m_runs.end())
        slot->second.hasOpenStart = true;
}

void WorkerSession::noteSilence(const absl::Status& status, SessionNews& news)
{
    m_isUnreachable = errorKindOf(status) == ErrorKind::OwnerUnreachable;
    news.isLost = m_silences == 0;
    ++m_silences;
}

void WorkerSession::noteAnswer(const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news)
{
    noteProcess(reply.bornMs, news.ended);
    if (reply.clock != 0) {
        m_clock = reply.clock;
        m_clockReadAt = now;
    }
    // Only a look shows what became of what was asked during the silence.
    if (about.kind != SessionCall::Kind::Look)
        return;
    news.isRegained = m_silences > 0 || !m_isSettled;
    m_silences = 0;
    m_isUnreachable = false;
    m_isSettled = true;
}

void WorkerSession::takeStartReply(
    const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news)
{
    const auto found = m_runs.find(about.run);
    if (found == m_runs.end())
        return;
    RunSlot& slot = found->second;
    if (reply.refusal == WorkerRefusal::None) {
        slot.stage = RunSlot::Stage::Running;
        slot.hasOpenStart = false;
        if (!slot.isStopConfirmed)
            slot.confirmedAt = now;
        return;
    }
    m_refusedUntil = now + refusalPause;
    // An earlier start without an answer may still be carried out, unless the run is barred first.
    const bool mayHaveRun = slot.hasOpenStart || reply.refusal == WorkerRefusal::AlreadyEnded;
    if (mayHaveRun || slot.isStopWanted) {
        slot.isStopWanted = true;
        return;
    }
    news.ended.push_back({ about.run, RunEnd::NotStarted, "", 0 });
    m_runs.erase(found);
}

void WorkerSession::takeStopReply(const SessionCall& about, const WorkerReply& reply, absl::Time now)
{
    const auto found = m_runs.find(about.run);
    if (found == m_runs.end() || reply.refusal != WorkerRefusal::None)
        return;
    found->second.isStopConfirmed = true;
    found->second.confirmedAt = now;
}

void WorkerSession::takeLookReply(const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news)
{
    for (const RunningRow& row : reply.running)
        takeRunning(row, now);
    for (const EndedRow& row : reply.ended)
        takeEnded(row, news);
    if (reply.ended.size() < fullEndList)
        dropAbsent(about, reply, news);
    news.running = reply.running;
}

void WorkerSession::takeRunning(const RunningRow& row, absl::Time now)
{
    const auto found = m_runs.find(row.run);
    if (found == m_runs.end()) {
        // Nobody here has asked for it. It takes room until it is stopped: all of it, unless somebody knows better.
        RunSlot slot;
        slot.demand = m_entry.capacity;
        slot.stage = RunSlot::Stage::Running;
        slot.since = now;
        slot.confirmedAt = now;
        m_runs[row.run] = slot;
        return;
    }
    RunSlot& slot = found->second;
    if (slot.movedAt == absl::InfiniteFuture() || slot.percent != row.percent)
        slot.movedAt = now;
    slot.percent = row.percent;
    if (slot.stage == RunSlot::Stage::Running)
        return;
    slot.stage = RunSlot::Stage::Running;
    slot.hasOpenStart = false;
    slot.confirmedAt = now;
}

void WorkerSession::takeEnded(const EndedRow& row, SessionNews& news)
{
    if (row.number <= m_acknowledgedEnd || m_ends.find(row.number) != m_ends.end())
        return;
    m_ends[row.number] = false;
    m_runs.erase(row.run);
    news.ended.push_back({ row.run, row.end, row.checkpoint, row.number });
}

// A run that was confirmed before the look was sent, and is listed neither way, is over.
void WorkerSession::dropAbsent(const SessionCall& about, const WorkerReply& reply, SessionNews& news)
{
    absl::btree_map<RunKey, bool> listed;
    for (const RunningRow& row : reply.running)
        listed[row.run] = true;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const RunSlot& slot = it->second;
        // The worker has seen this owner's epoch by now, so that an earlier owner's start is refused.
        const bool isAdopted = slot.stage == RunSlot::Stage::Adopted;
        const bool isConfirmed = slot.confirmedAt < about.sentAt;
        if (listed.contains(it->first) || !(isAdopted || isConfirmed)) {
            ++it;
            continue;
        }
        const RunEnd end = isAdopted ? RunEnd::NotStarted : slot.isStopConfirmed ? RunEnd::Stopped : RunEnd::Lapsed;
        news.ended.push_back({ it->first, end, "", 0 });
        it = m_runs.erase(it);
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

// A worker that drained, is no longer listed and has nobody at its address is gone, and all that it ran with it.
bool WorkerSession::hasLeft() const
{
    return m_entry.isDraining && !m_isListed && m_isUnreachable;
}

std::vector<EndedRun> WorkerSession::takeLapsed(absl::Time now)
{
    if (m_silences == 0 || (now < m_leaseBound && !hasLeft()))
        return {};
    return endAll(RunEnd::Lapsed);
}

} // namespace mangohall::batch
