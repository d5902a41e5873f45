#include "batch/owner/fleet_base.h"

#include <utility>

namespace mangohall::batch {

void Fleet::reset(Epoch epoch)
{
    m_epoch = epoch;
    m_sessions.clear();
    m_calls.clear();
    m_changed.clear();
    m_due.clear();
    m_unsettled.clear();
    m_firstLooks.clear();
}

WorkerSession* Fleet::find(const WorkerName& worker)
{
    const auto found = m_sessions.find(worker);
    if (found == m_sessions.end())
        return nullptr;
    noteChange(worker);
    return &found->second;
}

WorkerSession& Fleet::findOrRemember(const WorkerName& worker, std::int64_t bornMs)
{
    if (WorkerSession* found = find(worker))
        return *found;
    WorkerEntry entry;
    entry.name = worker;
    entry.bornMs = bornMs;
    WorkerSession& session = m_sessions.try_emplace(worker, entry, m_epoch, m_settings).first->second;
    session.noteUnlisted();
    noteChange(worker);
    return session;
}

std::vector<EndedRun> Fleet::takeEntry(const WorkerEntry& entry, absl::Time now)
{
    noteChange(entry.name);
    WorkerSession& session = m_sessions.try_emplace(entry.name, entry, m_epoch, m_settings).first->second;
    return session.update(entry, now);
}

std::vector<FleetNews> Fleet::takeRecords(absl::Span<const Record> records, bool isWhole, absl::Time now)
{
    std::vector<FleetNews> news;
    if (isWhole) {
        for (auto& [name, session] : m_sessions) {
            session.noteUnlisted();
            noteChange(name);
        }
    }
    for (const Record& record : records) {
        const auto* entry = std::get_if<WorkerEntry>(&record.value);
        if (entry == nullptr) {
            // Gone, or unreadable: no worker to use.
            if (WorkerSession* session = find(WorkerName(record.key.name)))
                session->noteUnlisted();
            continue;
        }
        FleetNews one { entry->name, entry->bornMs, {} };
        one.session.ended = takeEntry(*entry, now);
        if (!one.session.ended.empty())
            news.push_back(std::move(one));
    }
    return news;
}

void Fleet::collectDue(absl::Time now)
{
    for (const WorkerName& worker : m_due.dueBy(now))
        noteChange(worker);
}

void Fleet::advance(const StartSource& source, Outbox& outbox, absl::Time now)
{
    collectDue(now);
    for (const WorkerName& worker : m_firstLooks.takeTurns())
        noteChange(worker);
    for (const WorkerName& worker : std::exchange(m_changed, {})) {
        const auto found = m_sessions.find(worker);
        const bool isGone = found == m_sessions.end() || found->second.isForgettable();
        if (!isGone) {
            makeCalls(worker, found->second, source, outbox, now);
            continue;
        }
        m_sessions.erase(worker);
        m_unsettled.erase(worker);
        m_firstLooks.forget(worker);
        m_due.set(worker, absl::InfiniteFuture());
    }
}

void Fleet::makeCalls(
    const WorkerName& worker, WorkerSession& session, const StartSource& source, Outbox& outbox, absl::Time now)
{
    if (session.isListed() && !session.isSettled())
        m_unsettled.insert(worker);
    else
        m_unsettled.erase(worker);
    const bool isFirst = !session.isSettled();
    const bool isDue = session.nextDue() <= now;
    if (!isFirst || !isDue)
        m_firstLooks.forgetTurn(worker);
    if (isFirst && isDue && !m_firstLooks.admit(worker)) {
        m_due.set(worker, absl::InfiniteFuture());
        return;
    }
    for (DueCall& due : session.takeDueCalls(now)) {
        if (due.about.kind == SessionCall::Kind::Start)
            due.call.command = source.describeStart(due.about.run);
        if (due.about.kind == SessionCall::Kind::Look && isFirst)
            m_firstLooks.noteLook(worker);
        const CallId call = outbox.toWorker(std::move(due.call));
        m_calls.emplace(call, OpenCall { worker, due.about });
    }
    m_due.set(worker, session.nextDue());
}

FleetNews Fleet::takeReply(CallId call, const WorkerReply& reply, absl::Time now)
{
    const auto found = m_calls.find(call);
    const OpenCall open = std::move(found->second);
    m_calls.erase(found);
    if (open.about.kind == SessionCall::Kind::Look)
        m_firstLooks.noteReply(open.worker);
    FleetNews news { open.worker, 0, {} };
    WorkerSession* session = find(open.worker);
    if (session == nullptr)
        return news;
    news.session = session->takeReply(open.about, reply, now);
    news.bornMs = session->entry().bornMs;
    return news;
}

std::vector<FleetNews> Fleet::takeLapsed(absl::Time now)
{
    collectDue(now);
    std::vector<FleetNews> news;
    for (const WorkerName& worker : m_changed) {
        const auto found = m_sessions.find(worker);
        if (found == m_sessions.end())
            continue;
        FleetNews one { worker, found->second.entry().bornMs, {} };
        one.session.ended = found->second.takeLapsed(now);
        if (!one.session.ended.empty())
            news.push_back(std::move(one));
    }
    return news;
}

} // namespace mangohall::batch
