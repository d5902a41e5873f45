#include "batch/owner/worker_registry_base.h"

#include <algorithm>
#include <utility>

#include "batch/owner/run_name_func.h"

namespace mangohall::batch {

namespace {

// The more workers are polled, the longer each poll waits, so that the polls take a bounded share of the processor.
constexpr double maxPollsPerSecond = 400;
constexpr double pollsPerSecondPerShare = 800;
constexpr absl::Duration longestPollWait = absl::Seconds(2);
// Runs are placed ahead of their starts, up to this many times what may be on its way at once.
constexpr std::size_t windowsPlacedAhead = 4;

} // namespace

void WorkerRegistry::reset(Epoch epoch, absl::Time ownedSince)
{
    m_epoch = epoch;
    m_ownedSince = ownedSince;
    m_sessions.clear();
    m_addresses.clear();
    m_calls.clear();
    m_pendingPolls = 0;
    m_window.reset();
    m_startQueue.clear();
    m_isInStartQueue.clear();
    m_mayStart = true;
    m_startsHeld.clear();
    m_changed.clear();
    m_due.clear();
    m_unanswered.clear();
    m_initialPolls.clear();
}

WorkerSession* WorkerRegistry::find(const WorkerName& worker)
{
    const auto found = m_sessions.find(worker);
    if (found == m_sessions.end())
        return nullptr;
    markChanged(worker);
    return &found->second;
}

WorkerSession& WorkerRegistry::findOrAdd(const WorkerName& worker, std::int64_t processStartMs)
{
    if (WorkerSession* found = find(worker))
        return *found;
    WorkerEntry entry;
    entry.name = worker;
    entry.processStartMs = processStartMs;
    WorkerSession& session = m_sessions.try_emplace(worker, entry, m_epoch, m_settings, m_ownedSince).first->second;
    session.markUnlisted();
    markChanged(worker);
    return session;
}

void WorkerRegistry::applyEntry(const WorkerEntry& entry, absl::Time reportedAfter, absl::Time now)
{
    markChanged(entry.name);
    const auto [found, isNew] = m_sessions.try_emplace(entry.name, entry, m_epoch, m_settings, m_ownedSince);
    WorkerSession& session = found->second;
    if (isNew || session.address() != entry.address) {
        if (!isNew)
            m_addresses.remove(session.address(), entry.name);
        m_addresses.add(entry.address, entry.name);
    }
    session.update(entry, reportedAfter, now);
    session.setEvacuated(isEvacuated(session));
}

// A row may come from another writer, so both the last row and that of the present process count.
bool WorkerRegistry::isEvacuated(const WorkerSession& session) const
{
    return m_evacuations != nullptr
        && (m_evacuations->contains(session.entry().dataCentre)
            || m_evacuations->contains(session.lastEntry().dataCentre));
}

void WorkerRegistry::applyMissingEntry(const Record& record, absl::Time now)
{
    WorkerSession* session = find(WorkerName(record.key.name));
    if (session == nullptr)
        return;
    if (std::holds_alternative<UnreadableRecord>(record.value))
        session->markUnlisted();
    else
        session->markRemoved(now);
}

void WorkerRegistry::applyRecords(const CollectionUpdate& update, absl::Time now)
{
    if (update.isComplete) {
        for (auto& [name, session] : m_sessions) {
            session.markRemoved(now);
            markChanged(name);
        }
    }
    for (const Record& record : update.records) {
        if (const auto* entry = std::get_if<WorkerEntry>(&record.value))
            applyEntry(*entry, update.changedAfter, now);
        else
            applyMissingEntry(record, now);
    }
}

void WorkerRegistry::markDueChanged(absl::Time now)
{
    for (const WorkerName& worker : m_due.dueBy(now))
        markChanged(worker);
}

void WorkerRegistry::advance(const StartSource& source, Outbox& outbox, absl::Time now)
{
    markDueChanged(now);
    for (const WorkerName& worker : m_initialPolls.takeAdmitted())
        markChanged(worker);
    sendWaitingStarts(source, outbox, now);
    for (const WorkerName& worker : std::exchange(m_changed, {}))
        examine(worker, m_startQueue.empty() ? m_window.room(now) : 0, source, outbox, now);
}

void WorkerRegistry::sendWaitingStarts(const StartSource& source, Outbox& outbox, absl::Time now)
{
    // A worker that needs more room than there is goes to the end of the queue.
    for (std::size_t room = m_window.room(now); !m_startQueue.empty() && room > 0; room = m_window.room(now)) {
        const WorkerName worker = std::move(m_startQueue.front());
        m_startQueue.pop_front();
        m_isInStartQueue.erase(worker);
        m_changed.erase(worker);
        examine(worker, room, source, outbox, now);
    }
}

void WorkerRegistry::examine(
    const WorkerName& worker, std::size_t startRoom, const StartSource& source, Outbox& outbox, absl::Time now)
{
    const auto found = m_sessions.find(worker);
    const bool isGone = found == m_sessions.end() || found->second.isRemovable(now);
    if (!isGone) {
        makeCalls(worker, found->second, startRoom, source, outbox, now);
        return;
    }
    if (found != m_sessions.end()) {
        m_addresses.remove(found->second.address(), worker);
        m_sessions.erase(found);
    }
    m_unanswered.erase(worker);
    m_initialPolls.remove(worker);
    m_due.set(worker, absl::InfiniteFuture());
}

absl::Time WorkerRegistry::nextDue() const
{
    return m_startQueue.empty() ? m_due.next() : std::min(m_due.next(), m_window.nextRoomAt());
}

void WorkerRegistry::setMayStart(bool mayStart)
{
    m_mayStart = mayStart;
    if (!mayStart)
        return;
    for (const WorkerName& worker : std::exchange(m_startsHeld, {}))
        markChanged(worker);
}

std::vector<WorkerUpdate> WorkerRegistry::takeUnsentRuns()
{
    std::vector<WorkerUpdate> updates;
    for (auto& [worker, session] : m_sessions)
        takeUnsentRunsOf(worker, session, updates);
    return updates;
}

void WorkerRegistry::takeUnsentRunsOf(
    const WorkerName& worker, WorkerSession& session, std::vector<WorkerUpdate>& updates)
{
    WorkerUpdate update { worker, session.processStartMs(), {} };
    update.session.ended = session.takeUnsentRuns();
    if (update.session.ended.empty())
        return;
    markChanged(worker);
    updates.push_back(std::move(update));
}

std::vector<WorkerUpdate> WorkerRegistry::setEvacuations(std::shared_ptr<const EvacuationSet> evacuations)
{
    std::vector<WorkerUpdate> updates;
    if (evacuations == m_evacuations)
        return updates;
    m_evacuations = std::move(evacuations);
    for (auto& [worker, session] : m_sessions) {
        const bool wasEvacuated = session.isEvacuated();
        session.setEvacuated(isEvacuated(session));
        if (session.isEvacuated() == wasEvacuated)
            continue;
        markChanged(worker);
        if (session.isEvacuated())
            takeUnsentRunsOf(worker, session, updates);
    }
    return updates;
}

UnsentStarts WorkerRegistry::unsentStarts() const
{
    UnsentStarts unsent;
    for (const auto& [name, session] : m_sessions) {
        for (const auto& [run, slot] : session.runs()) {
            if (slot.stage == RunSlot::Stage::Reserved)
                ++unsent.reserved;
            if (slot.stage != RunSlot::Stage::Starting || !slot.isUnsent())
                continue;
            ++unsent.released;
            unsent.oldestSince = std::min(unsent.oldestSince, slot.since);
        }
    }
    return unsent;
}

std::int64_t WorkerRegistry::startAllowance() const
{
    const UnsentStarts unsent = unsentStarts();
    return static_cast<std::int64_t>(m_window.size() * windowsPlacedAhead)
        - static_cast<std::int64_t>(unsent.released + unsent.reserved);
}

bool WorkerRegistry::isStartPending() const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
        [](const auto& pending) { return pending.second.context.kind == SessionCall::Kind::Start; });
}

absl::Duration WorkerRegistry::nextPollWait() const
{
    const double rate = std::min(maxPollsPerSecond, pollsPerSecondPerShare * m_processorShare);
    const absl::Duration wait = absl::Seconds(m_pendingPolls / rate);
    return std::clamp(wait, m_settings.pollWait, longestPollWait);
}

void WorkerRegistry::makeCalls(const WorkerName& worker, WorkerSession& session, std::size_t startRoom,
    const StartSource& source, Outbox& outbox, absl::Time now)
{
    if (session.isListed() && !session.hasAnswered())
        m_unanswered.insert(worker);
    else
        m_unanswered.erase(worker);
    const bool isInitial = !session.hasAnswered();
    const bool isDue = session.nextDue() <= now;
    if (!isInitial || !isDue)
        m_initialPolls.dropAdmission(worker);
    if (isInitial && isDue && !m_initialPolls.tryAdmit(worker)) {
        m_due.set(worker, absl::InfiniteFuture());
        return;
    }
    session.setPollWait(nextPollWait());
    session.setMayStart(m_mayStart);
    session.setStartLimits(startRoom, m_window.retryPeriod());
    if (!m_mayStart)
        m_startsHeld.insert(worker);
    for (DueCall& due : session.takeDueCalls(now)) {
        if (due.context.kind == SessionCall::Kind::Start) {
            due.call.command = source.describeStart(due.context.run);
            logStartSent(session, due.context, outbox);
        }
        if (due.context.isGivenUp)
            logStartGivenUp(session, due.context, outbox);
        const bool isStart = due.context.kind == SessionCall::Kind::Start;
        due.call.sendUntil = isStart ? std::min(m_ownedUntil, m_startsUntil) : m_ownedUntil;
        const PendingCall pending { worker, due.call.address, due.context };
        recordCallSent(outbox.toWorker(std::move(due.call)), pending, isInitial, now);
    }
    if (session.isStartLeftOut() && m_isInStartQueue.insert(worker).second)
        m_startQueue.push_back(worker);
    m_due.set(worker, session.nextDue());
}

void WorkerRegistry::recordCallSent(CallId call, const PendingCall& pending, bool isInitial, absl::Time now)
{
    m_calls.emplace(call, pending);
    if (pending.context.kind == SessionCall::Kind::Start)
        m_window.recordSent(call, now);
    if (pending.context.kind != SessionCall::Kind::Poll)
        return;
    ++m_pendingPolls;
    if (isInitial)
        m_initialPolls.recordPoll(pending.worker);
}

void WorkerRegistry::recordCallEnd(CallId call, const PendingCall& pending, bool hasReply, absl::Time now)
{
    if (pending.context.kind == SessionCall::Kind::Poll) {
        --m_pendingPolls;
        m_initialPolls.recordReply(pending.worker);
    }
    if (pending.context.kind != SessionCall::Kind::Start)
        return;
    if (hasReply)
        m_window.recordReply(call, pending.context.sentAt, now);
    else
        m_window.recordFailure(call, pending.context.sentAt);
}

void WorkerRegistry::logStartSent(const WorkerSession& session, const SessionCall& context, Outbox& outbox) const
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::StartSent;
    decision.job = context.run.task.job.str();
    decision.run = runName(context.run);
    decision.worker = session.entry().name.str();
    decision.outcome = context.isRepeated ? "repeated" : "first";
    decision.epoch = m_epoch;
    decision.workerProcessStartMs = session.processStartMs();
    decision.rowProcessStartMs = session.entry().processStartMs;
    outbox.log(std::move(decision));
}

void WorkerRegistry::logStartGivenUp(const WorkerSession& session, const SessionCall& context, Outbox& outbox) const
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::RunStopped;
    decision.job = context.run.task.job.str();
    decision.run = runName(context.run);
    decision.worker = session.entry().name.str();
    decision.reason = std::string(stopReasonName(StopReason::StartUnconfirmed));
    decision.epoch = m_epoch;
    outbox.log(std::move(decision));
}

WorkerUpdate WorkerRegistry::handleReply(CallId call, const WorkerReply& reply, absl::Time now)
{
    const auto found = m_calls.find(call);
    const PendingCall pending = std::move(found->second);
    m_calls.erase(found);
    recordCallEnd(call, pending, reply.status.ok(), now);
    WorkerUpdate update { pending.worker, 0, {} };
    WorkerSession* session = find(pending.worker);
    if (session == nullptr)
        return update;
    update.session = session->handleReply(pending.context, reply, now);
    const bool isListOfRuns = pending.context.kind == SessionCall::Kind::Poll && reply.status.ok();
    if (isListOfRuns && reply.refusal == WorkerRefusal::None)
        recordReplyAt(pending);
    update.processStartMs = session->processStartMs();
    return update;
}

void WorkerRegistry::recordReplyAt(const PendingCall& pending)
{
    for (const WorkerName& worker : m_addresses.workersAt(pending.address)) {
        const auto found = m_sessions.find(worker);
        if (worker == pending.worker || found == m_sessions.end())
            continue;
        found->second.recordOtherWorker(pending.address, pending.context.sentAt);
        markChanged(worker);
    }
}

std::vector<WorkerUpdate> WorkerRegistry::takeLapsedRuns(absl::Time now)
{
    markDueChanged(now);
    std::vector<WorkerUpdate> updates;
    for (const WorkerName& worker : m_changed) {
        const auto found = m_sessions.find(worker);
        if (found == m_sessions.end())
            continue;
        WorkerUpdate update { worker, found->second.processStartMs(), {} };
        update.session.ended = found->second.takeLapsedRuns(now);
        if (!update.session.ended.empty())
            updates.push_back(std::move(update));
    }
    return updates;
}

} // namespace mangohall::batch
