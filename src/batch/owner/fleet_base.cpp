#include "batch/owner/fleet_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

void Fleet::reset(Epoch epoch)
{
    m_epoch = epoch;
    m_sessions.clear();
    m_calls.clear();
}

WorkerSession* Fleet::find(const WorkerName& worker)
{
    const auto found = m_sessions.find(worker);
    return found == m_sessions.end() ? nullptr : &found->second;
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
    return session;
}

bool Fleet::isSettled() const
{
    return std::all_of(m_sessions.begin(), m_sessions.end(),
        [](const auto& entry) { return entry.second.isSettled() || !entry.second.isListed(); });
}

std::vector<EndedRun> Fleet::takeEntry(const WorkerEntry& entry, absl::Time now)
{
    const auto [found, isNew] = m_sessions.try_emplace(entry.name, entry, m_epoch, m_settings);
    return isNew ? std::vector<EndedRun>() : found->second.update(entry, now);
}

std::vector<FleetNews> Fleet::takeRecords(absl::Span<const Record> records, bool isWhole, absl::Time now)
{
    std::vector<FleetNews> news;
    if (isWhole) {
        for (auto& [name, session] : m_sessions)
            session.noteUnlisted();
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

void Fleet::advance(const StartSource& source, Outbox& outbox, absl::Time now)
{
    for (auto it = m_sessions.begin(); it != m_sessions.end();) {
        WorkerSession& session = it->second;
        if (session.isForgettable()) {
            it = m_sessions.erase(it);
            continue;
        }
        for (DueCall& due : session.takeDueCalls(now)) {
            if (due.about.kind == SessionCall::Kind::Start)
                due.call.command = source.describeStart(due.about.run);
            const CallId call = outbox.toWorker(std::move(due.call));
            m_calls.emplace(call, OpenCall { it->first, due.about });
        }
        ++it;
    }
}

absl::Time Fleet::nextDue(absl::Time now) const
{
    absl::Time due = absl::InfiniteFuture();
    for (const auto& [name, session] : m_sessions)
        due = std::min(due, session.nextDue(now));
    return due;
}

FleetNews Fleet::takeReply(CallId call, const WorkerReply& reply, absl::Time now)
{
    const auto found = m_calls.find(call);
    const OpenCall open = std::move(found->second);
    m_calls.erase(found);
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
    std::vector<FleetNews> news;
    for (auto& [name, session] : m_sessions) {
        FleetNews one { name, session.entry().bornMs, {} };
        one.session.ended = session.takeLapsed(now);
        if (!one.session.ended.empty())
            news.push_back(std::move(one));
    }
    return news;
}

} // namespace mangohall::batch
