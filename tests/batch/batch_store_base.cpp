#include "batch/batch_store_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/batch_record_json_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// Collections with the same scope are read and watched together.
Collection scopeOf(Collection collection)
{
    if (collection == Collection::Cancellations)
        return Collection::Jobs;
    if (collection == Collection::Evacuations)
        return Collection::Manifest;
    if (collection == Collection::Epoch || collection == Collection::Candidate)
        return Collection::Holder;
    return collection;
}

// Small, so that collections of tests take several pages.
constexpr std::size_t recordsPerPage = 20;
constexpr absl::Duration minLateness = absl::Seconds(1);
constexpr absl::Duration latenessSpread = absl::Seconds(5);

} // namespace

StoreReply BatchStore::failure(ErrorKind kind) const
{
    StoreReply reply;
    reply.status = makeError(kind, "a fault of the test");
    return reply;
}

void BatchStore::request(const std::string& node, const StoreRequest& request, absl::Duration timeout, Reply reply)
{
    expireLeases();
    // After the first reply, from the store or from the timeout, later ones are dropped.
    const auto hasReplied = std::make_shared<bool>(false);
    const Reply once = [hasReplied, reply = std::move(reply)](const StoreReply& answer) {
        if (!std::exchange(*hasReplied, true))
            reply(answer);
    };
    m_timeline.after(timeout, [this, once] { once(failure(ErrorKind::OutcomeUnknown)); });
    if (m_isOut && m_isSilent)
        return;
    if (m_isOut || m_refused.contains(node)) {
        m_timeline.after(m_delay, [this, once] { once(failure(ErrorKind::StoreRefused)); });
        return;
    }
    const bool isCommit = std::holds_alternative<CommitRecords>(request);
    if (isCommit && m_random.uniform() < m_lateCommits) {
        const absl::Duration lateness = minLateness + latenessSpread * m_random.uniform();
        m_timeline.after(lateness, [this, request] { serve(request); });
        return;
    }
    const bool isLost = isCommit && m_random.uniform() < m_lostAnswers;
    m_timeline.after(m_delay / 2, [this, request, once, isLost] {
        if (const auto* watch = std::get_if<WatchCollection>(&request)) {
            startWatch(*watch, once);
            return;
        }
        const StoreReply answer = serve(request);
        if (!isLost)
            m_timeline.after(m_delay / 2, [answer, once] { once(answer); });
    });
}

StoreReply BatchStore::serve(const StoreRequest& request)
{
    expireLeases();
    StoreReply reply;
    reply.revision = m_revision;
    if (const auto* read = std::get_if<ReadRecord>(&request)) {
        const Record* found = find(read->key);
        if (found == nullptr)
            return failure(ErrorKind::NotFound);
        reply.records.push_back(*found);
    } else if (const auto* whole = std::get_if<ReadCollection>(&request)) {
        reply.records = list(whole->collection);
    } else if (const auto* page = std::get_if<ReadPage>(&request)) {
        addPage(*page, reply);
    } else if (const auto* commitRequest = std::get_if<CommitRecords>(&request)) {
        return commit(*commitRequest);
    } else if (const auto* grant = std::get_if<GrantLease>(&request)) {
        reply.lease = ++m_lastLease;
        m_leases[reply.lease].timeToLive = grant->timeToLive;
        extend(m_leases[reply.lease]);
    } else if (const auto* renew = std::get_if<RenewLease>(&request)) {
        const auto found = m_leases.find(renew->lease);
        if (found == m_leases.end())
            return failure(ErrorKind::NotFound);
        extend(found->second);
    } else if (const auto* end = std::get_if<RevokeLease>(&request)) {
        const auto found = m_leases.find(end->lease);
        if (found != m_leases.end())
            found->second.until = m_timeline.now();
        expireLeases();
    }
    return reply;
}

void BatchStore::addPage(const ReadPage& page, StoreReply& reply) const
{
    // Records are listed in the order of their positions.
    const std::vector<Record> records = list(page.collection);
    std::string last;
    for (const Record& record : records) {
        const std::string position = absl::StrCat(static_cast<int>(record.key.collection), "/", record.key.name);
        if (position <= page.begin)
            continue;
        if (reply.records.size() == recordsPerPage) {
            reply.nextPage = last;
            return;
        }
        reply.records.push_back(record);
        last = position;
    }
}

bool BatchStore::hasOversizedValue(const CommitRecords& request) const
{
    if (m_maxValueBytes == std::numeric_limits<std::size_t>::max())
        return false;
    return std::any_of(request.writes.begin(), request.writes.end(),
        [this](const RecordWrite& write) { return encodeRecord(write.value).size() > m_maxValueBytes; });
}

StoreReply BatchStore::commit(const CommitRecords& request)
{
    StoreReply reply;
    if (hasOversizedValue(request)) {
        ++m_oversizedCommits;
        return failure(ErrorKind::InvalidValue);
    }
    bool holds = true;
    for (const ExpectedRevision& expected : request.expected) {
        const Record* current = find(expected.key);
        const Revision revision = current == nullptr ? 0 : current->revision;
        holds = holds && revision == expected.revision;
        reply.records.push_back(current == nullptr ? Record { expected.key, 0, {} } : *current);
    }
    if (!holds && !m_acceptsStale) {
        reply.status = makeError(ErrorKind::RevisionConflict, "an expected revision has changed");
        return reply;
    }
    for (const RecordWrite& write : request.writes) {
        if (write.lease != 0 && m_leases.find(write.lease) == m_leases.end())
            return failure(ErrorKind::NotFound);
    }
    reply.records.clear();
    ++m_commits;
    ++m_revision;
    bool isAwaitedCommit = false;
    for (const RecordWrite& write : request.writes) {
        change(write.key, write.value, write.lease);
        isAwaitedCommit = isAwaitedCommit || write.key.collection == m_afterCommitCollection;
    }
    for (const RecordKey& key : request.removals)
        change(key, {}, 0);
    reply.revision = m_revision;
    notifyWatches();
    if (isAwaitedCommit && m_afterCommit)
        std::exchange(m_afterCommit, nullptr)();
    return reply;
}

void BatchStore::afterNextCommit(Collection collection, std::function<void()> action)
{
    m_afterCommitCollection = collection;
    m_afterCommit = std::move(action);
}

void BatchStore::change(const RecordKey& key, RecordValue value, std::int64_t lease)
{
    Record record { key, m_revision, std::move(value) };
    m_history.push_back(record);
    m_leaseOf.erase(key);
    if (std::holds_alternative<std::monostate>(record.value)) {
        m_records.erase(key);
        return;
    }
    if (lease != 0)
        m_leaseOf[key] = lease;
    m_records[key] = std::move(record);
}

void BatchStore::put(const RecordKey& key, RecordValue value)
{
    ++m_revision;
    change(key, std::move(value), 0);
    notifyWatches();
}

void BatchStore::remove(const RecordKey& key)
{
    put(key, {});
}

const Record* BatchStore::find(const RecordKey& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<Record> BatchStore::list(Collection collection) const
{
    std::vector<Record> records;
    for (const auto& [key, record] : m_records) {
        if (scopeOf(key.collection) == scopeOf(collection))
            records.push_back(record);
    }
    return records;
}

std::vector<Record> BatchStore::changesAfter(Collection collection, Revision after) const
{
    std::vector<Record> changes;
    for (const Record& record : m_history) {
        if (record.revision > after && scopeOf(record.key.collection) == scopeOf(collection))
            changes.push_back(record);
    }
    return changes;
}

void BatchStore::startWatch(const WatchCollection& request, const Reply& reply)
{
    if (request.after < m_compactedAt) {
        reply(failure(ErrorKind::WatchExpired));
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch { request.collection, request.after, reply });
    m_watches.push_back(watch);
    m_timeline.after(request.wait, [this, watch] {
        if (std::exchange(watch->isOver, true))
            return;
        StoreReply nothing;
        nothing.revision = m_revision;
        if (!m_isOut)
            m_timeline.after(m_watchDelays[watch->collection], [watch, nothing] { watch->reply(nothing); });
    });
    notifyWatches();
}

void BatchStore::notifyWatches()
{
    std::vector<std::shared_ptr<Watch>> waiting;
    for (const std::shared_ptr<Watch>& watch : std::exchange(m_watches, {})) {
        if (watch->isOver)
            continue;
        StoreReply update;
        update.revision = m_revision;
        update.records = changesAfter(watch->collection, watch->after);
        if (update.records.empty()) {
            waiting.push_back(watch);
            continue;
        }
        watch->isOver = true;
        m_timeline.after(m_delay / 2 + m_watchDelays[watch->collection], [watch, update] { watch->reply(update); });
    }
    m_watches.insert(m_watches.end(), waiting.begin(), waiting.end());
}

void BatchStore::extend(Lease& lease)
{
    lease.until = m_timeline.now() + lease.timeToLive;
    m_timeline.at(lease.until, [this] { expireLeases(); });
}

void BatchStore::expireLeases()
{
    if (m_isOut)
        return;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.until > m_timeline.now()) {
            ++it;
            continue;
        }
        const std::int64_t lease = it->first;
        it = m_leases.erase(it);
        std::vector<RecordKey> gone;
        for (const auto& [key, holder] : m_leaseOf) {
            if (holder == lease)
                gone.push_back(key);
        }
        for (const RecordKey& key : gone)
            remove(key);
    }
}

void BatchStore::setOut(bool isOut, bool isSilent)
{
    // Leases do not expire while the store is out: they begin anew afterwards.
    if (m_isOut && !isOut) {
        for (auto& [id, lease] : m_leases)
            extend(lease);
    }
    m_isOut = isOut;
    m_isSilent = isSilent;
}

void BatchStore::refuseNode(const std::string& node, bool isRefused)
{
    if (isRefused)
        m_refused.insert(node);
    else
        m_refused.erase(node);
}

} // namespace mangohall::batch
