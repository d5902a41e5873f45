#include "cluster/fake_store_base.h"

#include "core/error_func.h"
#include "core/time_const.h"

namespace mangohall {

namespace {

bool hasPrefix(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

bool isWrite(const StoreRequest& request)
{
    return std::holds_alternative<StoreCompareAndSwap>(request);
}

StoreReply unavailable()
{
    StoreReply reply;
    reply.status = makeError(ErrorKind::StoreUnavailable, "the store does not answer");
    return reply;
}

} // namespace

void FakeStore::request(const std::string& client, const StoreRequest& request, const Reply& reply)
{
    ++m_calls;
    if (const auto* watch = std::get_if<StoreWatch>(&request)) {
        m_timeline.after(m_delay, [this, client, watch = *watch, reply] { openWatch(client, watch, reply); });
        return;
    }
    m_timeline.after(m_delay, [this, request, reply] {
        expireLeases();
        if (m_isUnavailable) {
            m_timeline.after(storeCallTimeout, [reply] { reply(unavailable()); });
            return;
        }
        const StoreReply answer = serve(request);
        const bool isLost = isWrite(request) && m_random.uniform() < m_lostAnswers;
        if (isLost)
            m_timeline.after(storeCallTimeout, [reply] { reply(unavailable()); });
        else
            m_timeline.after(m_delay, [reply, answer] { reply(answer); });
    });
}

StoreReply FakeStore::serve(const StoreRequest& request)
{
    StoreReply reply;
    if (const auto* get = std::get_if<StoreGet>(&request)) {
        if (const StoreEntry* entry = find(get->key))
            reply.entries.push_back(*entry);
    } else if (const auto* wanted = std::get_if<StoreList>(&request)) {
        reply.entries = list(wanted->prefix);
    } else if (const auto* write = std::get_if<StoreCompareAndSwap>(&request)) {
        return compareAndSwap(*write);
    } else if (const auto* grant = std::get_if<StoreGrantLease>(&request)) {
        reply.lease = ++m_lastLease;
        m_leases[reply.lease] = { grant->timeToLive, m_timeline.now() + grant->timeToLive };
    } else if (const auto* renewal = std::get_if<StoreKeepLeaseAlive>(&request)) {
        return keepAlive(renewal->lease);
    } else if (const auto* revocation = std::get_if<StoreRevokeLease>(&request)) {
        removeLease(revocation->lease);
    }
    reply.revision = m_revision;
    return reply;
}

StoreReply FakeStore::compareAndSwap(const StoreCompareAndSwap& request)
{
    ++m_writes;
    StoreReply reply;
    const StoreEntry* present = find(request.key);
    const Revision currentRevision = present == nullptr ? 0 : present->modRevision;
    if (currentRevision != request.expectedRevision && !m_acceptsStaleWrites) {
        reply.status = makeError(ErrorKind::RevisionConflict, request.key);
        if (present != nullptr)
            reply.entries.push_back(*present);
        reply.revision = m_revision;
        return reply;
    }
    const bool isLeaseGone = request.lease != 0 && m_leases.count(request.lease) == 0;
    if (isLeaseGone) {
        reply.status = makeError(ErrorKind::NotFound, "the lease does not exist");
        return reply;
    }
    change(request.key, request.value, request.lease);
    reply.revision = m_revision;
    return reply;
}

StoreReply FakeStore::keepAlive(std::int64_t id)
{
    StoreReply reply;
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        reply.status = makeError(ErrorKind::NotFound, "the lease does not exist");
        return reply;
    }
    lease->second.until = m_timeline.now() + lease->second.timeToLive;
    reply.lease = id;
    reply.revision = m_revision;
    return reply;
}

void FakeStore::change(const std::string& key, const StoreValue& value, std::int64_t lease)
{
    StoreEntry entry { key, ++m_revision, value, std::holds_alternative<std::monostate>(value) };
    if (auto* object = std::get_if<ConfigObject>(&entry.value))
        object->revision = entry.modRevision;
    if (entry.isDeleted) {
        m_entries.erase(key);
        m_leaseOfKey.erase(key);
    } else {
        m_entries[key] = entry;
        m_leaseOfKey[key] = lease;
    }
    m_history.push_back(entry);
    notifyWatchers(entry);
}

void FakeStore::notifyWatchers(const StoreEntry& entry)
{
    for (const Watcher& watcher : m_watchers) {
        if (watcher.isSilent || !hasPrefix(entry.key, watcher.prefix))
            continue;
        StoreReply reply;
        reply.revision = entry.modRevision;
        reply.entries.push_back(entry);
        m_timeline.after(m_delay, [reply, notify = watcher.reply] { notify(reply); });
    }
}

void FakeStore::openWatch(const std::string& client, const StoreWatch& watch, Reply reply)
{
    if (m_isUnavailable) {
        m_timeline.after(storeCallTimeout, [reply] { reply(unavailable()); });
        return;
    }
    for (const StoreEntry& entry : m_history) {
        if (entry.modRevision <= watch.afterRevision || !hasPrefix(entry.key, watch.prefix))
            continue;
        StoreReply missed;
        missed.revision = entry.modRevision;
        missed.entries.push_back(entry);
        m_timeline.after(m_delay, [missed, reply] { reply(missed); });
    }
    m_watchers.push_back({ client, watch.prefix, std::move(reply), false });
}

void FakeStore::closeClient(const std::string& client)
{
    std::erase_if(m_watchers, [&client](const Watcher& watcher) { return watcher.client == client; });
}

void FakeStore::silenceWatches(const std::string& client)
{
    for (Watcher& watcher : m_watchers)
        watcher.isSilent = watcher.isSilent || watcher.client == client;
}

void FakeStore::setUnavailable(bool isUnavailable)
{
    m_isUnavailable = isUnavailable;
    if (!isUnavailable) {
        expireLeases();
        return;
    }
    for (const Watcher& watcher : std::exchange(m_watchers, {}))
        m_timeline.after(m_delay, [reply = watcher.reply] { reply(unavailable()); });
}

void FakeStore::expireLeases()
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.until <= m_timeline.now())
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        removeLease(id);
}

void FakeStore::removeLease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, lease] : m_leaseOfKey) {
        if (lease == id)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        change(key, std::monostate(), 0);
}

const StoreEntry* FakeStore::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<StoreEntry> FakeStore::list(const std::string& prefix) const
{
    std::vector<StoreEntry> entries;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end(); ++entry) {
        if (!hasPrefix(entry->first, prefix))
            break;
        entries.push_back(entry->second);
    }
    return entries;
}

} // namespace mangohall
