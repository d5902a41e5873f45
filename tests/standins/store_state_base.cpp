#include "standins/store_state_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr std::size_t maxValueBytes = std::size_t { 1 } << 20U;
constexpr absl::string_view everyKeyEnd("\0", 1);

} // namespace

bool KeyRange::contains(absl::string_view key) const
{
    if (end.empty())
        return key == first;
    return key >= first && (end == everyKeyEnd || key < end);
}

StoreState::StoreState(std::size_t historyLimit)
    : m_historyLimit(historyLimit)
{
}

std::vector<StoredKey> StoreState::range(const KeyRange& range) const
{
    std::vector<StoredKey> found;
    for (auto entry = m_keys.lower_bound(range.first); entry != m_keys.end(); ++entry) {
        if (!range.contains(entry->first))
            break;
        found.push_back(entry->second);
    }
    return found;
}

absl::StatusOr<bool> StoreState::commit(const StoreTransaction& transaction)
{
    const auto present = m_keys.find(transaction.key);
    const Revision presentRevision = present == m_keys.end() ? 0 : present->second.modRevision;
    if (presentRevision != transaction.expectedRevision)
        return false;
    if (transaction.isDeletion) {
        if (present != m_keys.end()) {
            ++m_revision;
            remove(transaction.key);
        }
        return true;
    }
    absl::Status status = testPut(transaction);
    if (!status.ok())
        return status;
    put(transaction);
    return true;
}

absl::Status StoreState::testPut(const StoreTransaction& transaction) const
{
    if (transaction.value.size() > maxValueBytes)
        return makeError(ErrorKind::InvalidValue, "request is too large");
    if (transaction.lease != 0 && m_leases.find(transaction.lease) == m_leases.end())
        return makeError(ErrorKind::NotFound, "requested lease not found");
    return absl::OkStatus();
}

void StoreState::put(const StoreTransaction& transaction)
{
    ++m_revision;
    StoredKey& stored = m_keys[transaction.key];
    detachFromLease(stored);
    if (stored.version == 0)
        stored.createRevision = m_revision;
    stored.key = transaction.key;
    stored.value = transaction.value;
    stored.modRevision = m_revision;
    ++stored.version;
    stored.lease = transaction.lease;
    if (stored.lease != 0)
        m_leases[stored.lease].keys.insert(stored.key);
    record(stored, false);
}

void StoreState::remove(const std::string& key)
{
    const auto present = m_keys.find(key);
    detachFromLease(present->second);
    StoredKey tombstone;
    tombstone.key = key;
    tombstone.modRevision = m_revision;
    m_keys.erase(present);
    record(tombstone, true);
}

void StoreState::detachFromLease(const StoredKey& stored)
{
    const auto lease = m_leases.find(stored.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(stored.key);
}

void StoreState::record(const StoredKey& present, bool isDeleted)
{
    m_history.push_back({ present, isDeleted });
    if (m_history.size() > m_historyLimit)
        compact(m_history.front().present.modRevision);
}

StoredLease StoreState::grantLease(absl::Duration timeToLive, absl::Time now)
{
    StoredLease lease;
    lease.id = ++m_lastLease;
    lease.timeToLive = timeToLive;
    lease.expiresAt = now + timeToLive;
    m_leases.emplace(lease.id, lease);
    return lease;
}

absl::StatusOr<StoredLease> StoreState::keepLeaseAlive(std::int64_t id, absl::Time now)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end() || lease->second.expiresAt <= now)
        return makeError(ErrorKind::NotFound, "requested lease not found");
    lease->second.expiresAt = now + lease->second.timeToLive;
    return lease->second;
}

absl::Status StoreState::revokeLease(std::int64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end())
        return makeError(ErrorKind::NotFound, "requested lease not found");
    const std::set<std::string> keys = std::move(lease->second.keys);
    m_leases.erase(lease);
    // All keys of a lease are deleted in one revision.
    if (!keys.empty())
        ++m_revision;
    for (const std::string& key : keys)
        remove(key);
    return absl::OkStatus();
}

bool StoreState::expireLeases(absl::Time now)
{
    std::vector<std::int64_t> expired;
    for (const auto& entry : m_leases) {
        if (entry.second.expiresAt <= now)
            expired.push_back(entry.first);
    }
    for (const std::int64_t id : expired)
        revokeLease(id).IgnoreError();
    return !expired.empty();
}

absl::Time StoreState::nextExpiry() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& entry : m_leases)
        next = std::min(next, entry.second.expiresAt);
    return next;
}

absl::StatusOr<std::vector<StoredChange>> StoreState::changesFrom(Revision revision, const KeyRange& range) const
{
    if (revision <= m_compactRevision)
        return makeError(ErrorKind::WatchExpired, "required revision has been compacted");
    auto change = std::lower_bound(m_history.begin(), m_history.end(), revision,
        [](const StoredChange& candidate, Revision wanted) { return candidate.present.modRevision < wanted; });
    std::vector<StoredChange> changes;
    for (; change != m_history.end(); ++change) {
        if (range.contains(change->present.key))
            changes.push_back(*change);
    }
    return changes;
}

void StoreState::compact(Revision revision)
{
    m_compactRevision = std::max(m_compactRevision, std::min(revision, m_revision));
    while (!m_history.empty() && m_history.front().present.modRevision <= m_compactRevision)
        m_history.pop_front();
}

} // namespace mangohall
