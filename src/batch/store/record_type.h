// What the store keeps for a node, and what a node asks of the store. No encoding is implied.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/status/status.h"
#include "absl/time/time.h"
#include "batch/fleet/worker_type.h"
#include "batch/job/job_type.h"
#include "batch/job/progress_record_type.h"
#include "batch/routing/manifest_type.h"

namespace mangohall::batch {

// The kinds of records.
enum class Collection {
    // The operators' manifest. Only operators write it.
    Manifest,
    // The workers' own entries. Only workers write them.
    Workers,
    // Accepted jobs and their cancellations, written once by whichever node took the call. Who reads or watches the
    // jobs
    // as a collection is told of the cancellations too.
    Jobs,
    Cancellations,
    // Written by the owner alone.
    Progress,
    QueueCounts,
    // Who owns the jobs and workers, under the owner's lease. Who watches it is told of the epoch too.
    Holder,
    // The epoch of the last owner. It lasts.
    Epoch,
};

struct RecordKey {
    Collection collection = Collection::Manifest;
    // Empty for a collection of one record.
    std::string name;

    friend bool operator==(const RecordKey&, const RecordKey&) = default;
    // The check takes the zero that a defaulted comparison is compared with for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

// A caller's wish that a job be cancelled.
struct Cancellation {
    absl::Time requestedAt;

    friend bool operator==(const Cancellation&, const Cancellation&) = default;
};

// Which node owns the jobs and workers, for as long as its lease lasts.
struct HolderRecord {
    NodeName node;
    Epoch epoch = 0;

    friend bool operator==(const HolderRecord&, const HolderRecord&) = default;
};

// Every change of owner raises the epoch. Whatever an owner writes expects this record to be unchanged.
struct EpochRecord {
    Epoch epoch = 0;
    NodeName node;

    friend bool operator==(const EpochRecord&, const EpochRecord&) = default;
};

// How many accepted jobs of each queue have started no task.
struct QueueCounts {
    absl::btree_map<QueueName, std::int64_t> waiting;

    friend bool operator==(const QueueCounts&, const QueueCounts&) = default;
};

// Bytes that could not be read.
struct UnreadableRecord {
    std::string reason;

    friend bool operator==(const UnreadableRecord&, const UnreadableRecord&) = default;
};

using RecordValue = std::variant<std::monostate, Manifest, WorkerEntry, Job, Cancellation, ProgressRecord, QueueCounts,
    HolderRecord, EpochRecord, UnreadableRecord>;

// A record as the store has it. Revision 0 and no value mean that it is absent.
struct Record {
    RecordKey key;
    Revision revision = 0;
    RecordValue value;
};

struct ReadRecord {
    RecordKey key;
};

// Reads a whole collection. Changes after the reply's revision are all that a watch has to tell.
struct ReadCollection {
    Collection collection = Collection::Manifest;
};

// Waits up to `wait` for changes of the collection after the revision.
struct WatchCollection {
    Collection collection = Collection::Manifest;
    Revision after = 0;
    absl::Duration wait;
};

struct ExpectedRevision {
    RecordKey key;
    // 0 expects that the record is absent.
    Revision revision = 0;
};

struct RecordWrite {
    RecordKey key;
    RecordValue value;
    // The lease that the record hangs on; 0 for one that lasts.
    std::int64_t lease = 0;
};

// Writes everything if every expectation holds, else nothing.
struct CommitRecords {
    std::vector<ExpectedRevision> expected;
    std::vector<RecordWrite> writes;
    std::vector<RecordKey> removals;
};

struct GrantLease {
    absl::Duration timeToLive;
};

struct RenewLease {
    std::int64_t lease = 0;
};

struct EndLease {
    std::int64_t lease = 0;
};

using StoreRequest
    = std::variant<ReadRecord, ReadCollection, WatchCollection, CommitRecords, GrantLease, RenewLease, EndLease>;

// The store's answer. The status has one of these kinds: None; StoreRefused if nothing was done; OutcomeUnknown if no
// answer came, so that it may have been or may still be done; RevisionConflict with the present records of all
// expectations; WatchExpired; NotFound for a record or lease that does not exist.
struct StoreReply {
    absl::Status status;
    // The store's revision when it answered, or that of the commit.
    Revision revision = 0;
    std::vector<Record> records;
    std::int64_t lease = 0;
};

// The number of expectations, writes and removals that one commit takes.
inline constexpr std::size_t maxCommitEntries = 32;

} // namespace mangohall::batch
