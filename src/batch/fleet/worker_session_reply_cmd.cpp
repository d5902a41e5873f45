// What a worker's answers and silences tell of its runs.
#include "batch/fleet/worker_session_base.h"

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// A worker that has refused a start is left alone for so long.
constexpr absl::Duration refusalPause = absl::Milliseconds(700);
// A call without an answer is carried out within this time or never.
constexpr absl::Duration longestLateness = absl::Seconds(14);
// A worker lists at most this many ends at a time; a full list says nothing of what is not on it.
constexpr std::size_t fullEndList = 500;

} // namespace

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
    const ErrorKind kind = errorKindOf(status);
    m_isUnreachable = kind == ErrorKind::OwnerUnreachable || kind == ErrorKind::PeerGone;
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

} // namespace mangohall::batch
