// Requests to the platform's store and its replies, with typed values. A codec behind the port turns values into bytes.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "configuration/configuration_type.h"
#include "core/name_type.h"
#include "job/job_type.h"
#include "membership/membership_type.h"

namespace mangohall {

// The jobs of one bucket of a ledger shard, which are written together.
struct LedgerBucket {
    ShardName shard;
    // The index of the bucket within the shard.
    std::int32_t bucket = 0;
    // The epoch of the owner that wrote the bucket.
    Epoch epoch = 0;
    std::vector<JobRecord> jobs;
};

using StoreValue = std::variant<std::monostate, LedgerBucket, OwnerRecord, Member, ConfigObject>;

// A key with its value.
struct StoreEntry {
    std::string key;
    // The store revision of the key's last change; 0 if the key is absent.
    Revision modRevision = 0;
    StoreValue value;
    // Set in the reply to a watch for a key that was deleted.
    bool isDeleted = false;
};

// Reads one key. The reply has one entry, or none if the key is absent.
struct StoreGet {
    std::string key;
};

// Reads every key with the prefix.
struct StoreList {
    std::string prefix;
};

// Writes a key if its modRevision is still the expected one. Otherwise the reply has the error RevisionConflict and the
// present entry, if there is one.
struct StoreCompareAndSwap {
    std::string key;
    // The expected modRevision; 0 if the key must be absent.
    Revision expectedRevision = 0;
    // The new value; an empty value deletes the key.
    StoreValue value;
    // The lease that the key is bound to and deleted with; 0 for a permanent key.
    std::int64_t lease = 0;
};

// Creates a lease. The reply has its id.
struct StoreGrantLease {
    absl::Duration timeToLive;
};

// Renews a lease. The reply has the error NotFound if the lease has lapsed.
struct StoreKeepLeaseAlive {
    std::int64_t lease = 0;
};

// Ends a lease and deletes the keys bound to it.
struct StoreRevokeLease {
    std::int64_t lease = 0;
};

// Watches the keys with the prefix for changes after the revision. There is one reply for each batch of changes, until
// the watch ends with an error: WatchExpired if changes after the revision have been compacted away.
struct StoreWatch {
    std::string prefix;
    Revision afterRevision = 0;
};

using StoreRequest = std::variant<StoreGet, StoreList, StoreCompareAndSwap, StoreGrantLease, StoreKeepLeaseAlive,
    StoreRevokeLease, StoreWatch>;

// The store's reply.
struct StoreReply {
    // StoreUnavailable means that the request may or may not have taken effect.
    absl::Status status;
    // The store's revision when it replied; for a write, the revision of the write.
    Revision revision = 0;
    std::vector<StoreEntry> entries;
    // The id of the lease, in the reply to a lease call.
    std::int64_t lease = 0;
};

} // namespace mangohall
