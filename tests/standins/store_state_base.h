#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "core/name_type.h"

namespace mangohall {

// The keys from `first` up to but not including `end`. An empty `end` means the single key `first`; an `end` of one
// zero byte means all keys from `first` on.
struct KeyRange {
    std::string first;
    std::string end;

    bool contains(absl::string_view key) const;
};

// A key with its value and metadata, as the store holds it.
struct StoredKey {
    std::string key;
    std::string value;
    // The revisions of the creation and of the last change.
    Revision createRevision = 0;
    Revision modRevision = 0;
    // Number of changes since the creation, counted from 1.
    std::int64_t version = 0;
    // The id of the lease that the key is attached to, 0 for none.
    std::int64_t lease = 0;
};

// One change of one key.
struct StoredChange {
    // The key after the change.
    StoredKey present;
    bool isDeleted = false;
};

// A transaction that changes or deletes a key if its last change has the expected revision.
struct StoreTransaction {
    std::string key;
    // 0 expects that the key does not exist.
    Revision expectedRevision = 0;
    bool isDeletion = false;
    std::string value;
    std::int64_t lease = 0;
};

// A lease and the keys that are deleted when it expires.
struct StoredLease {
    std::int64_t id = 0;
    absl::Duration timeToLive;
    absl::Time expiresAt;
    std::set<std::string> keys;
};

// The state of the simulated store: its keys, its leases, and the history of changes from which a watch may resume.
class StoreState {
public:
    // The last `historyLimit` changes are kept; older ones are compacted away.
    explicit StoreState(std::size_t historyLimit);

    Revision revision() const { return m_revision; }
    // Returns the keys in the range in their order.
    std::vector<StoredKey> range(const KeyRange& range) const;

    // Returns whether the revision was as expected and the change was made. NotFound if the lease does not exist,
    // InvalidValue if the value is too large.
    absl::StatusOr<bool> commit(const StoreTransaction& transaction);

    StoredLease grantLease(absl::Duration timeToLive, absl::Time now);
    // Renews the lease. NotFound if it has expired or never existed.
    absl::StatusOr<StoredLease> keepLeaseAlive(std::int64_t id, absl::Time now);
    // Deletes the lease and its keys. NotFound if there is no such lease.
    absl::Status revokeLease(std::int64_t id);
    // Deletes the leases that have expired and their keys. Returns whether there were any.
    bool expireLeases(absl::Time now);
    // Returns when the next lease expires, the infinite future if there is none.
    absl::Time nextExpiry() const;

    // Returns the changes in the range from the revision on. WatchExpired if some of them have been compacted away.
    absl::StatusOr<std::vector<StoredChange>> changesFrom(Revision revision, const KeyRange& range) const;
    // Removes the changes up to and including the revision from the history.
    void compact(Revision revision);
    Revision compactRevision() const { return m_compactRevision; }

private:
    absl::Status testPut(const StoreTransaction& transaction) const;
    void put(const StoreTransaction& transaction);
    void remove(const std::string& key);
    // Removes the key from the keys of its lease.
    void detachFromLease(const StoredKey& stored);
    void record(const StoredKey& present, bool isDeleted);

    const std::size_t m_historyLimit;
    Revision m_revision = 1;
    Revision m_compactRevision = 0;
    std::int64_t m_lastLease = 0;
    std::map<std::string, StoredKey> m_keys;
    std::map<std::int64_t, StoredLease> m_leases;
    // The kept changes in the order of their revisions.
    std::deque<StoredChange> m_history;
};

} // namespace mangohall
