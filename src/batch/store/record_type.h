// The records that the store keeps, and the requests that a node sends to it. No encoding is implied.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/status/status.h"
#include "absl/time/time.h"
#include "batch/job/job_type.h"
#include "batch/job/progress_record_type.h"
#include "batch/routing/manifest_type.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// The collections of records. A read or watch of one collection may include another, as noted below.
enum class Collection {
    // The operators' manifest, and their requests to evacuate data centres, by the data centre's name. Only operators
    // write them. A read or watch of the manifest includes the evacuations.
    Manifest,
    Evacuations,
    // The workers' own entries. Only workers write them.
    Workers,
    // Accepted jobs and their cancellations, each written once by the node that took the call. A read or watch of the
    // jobs includes the cancellations.
    Jobs,
    Cancellations,
    // The progress of each job, and the number of waiting jobs of each queue. Written by the owner alone.
    Progress,
    QueueCounts,
    // The limit on jobs that are submitted while the owner has little memory left for them; absent otherwise. Written
    // by
    // the owner alone.
    Admission,
    // The node that owns the jobs and workers, under the owner's lease. A read or watch of the holder includes the
    // epoch.
    Holder,
    // The epoch of the last owner. The record outlives the owner's lease.
    Epoch,
    // A node that asks the owner for the ownership, under the node's lease. A read or watch of the holder includes it.
    Candidate,
};

// The key of a record.
struct RecordKey {
    Collection collection = Collection::Manifest;
    // Empty for a collection of one record.
    std::string name;

    friend bool operator==(const RecordKey&, const RecordKey&) = default;
    // clang-tidy mistakes the zero that a defaulted comparison is compared with for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

// An operators' request to evacuate the data centre that its key names.
struct Evacuation {
    friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

// A caller's request to cancel a job.
struct Cancellation {
    absl::Time requestedAt;

    friend bool operator==(const Cancellation&, const Cancellation&) = default;
};

// The node that owns the jobs and workers, for as long as its lease lasts.
struct HolderRecord {
    NodeName node;
    Epoch epoch = 0;
    // The share of a processor that the node may use; 0 if it is unknown.
    double processorShare = 0;

    friend bool operator==(const HolderRecord&, const HolderRecord&) = default;
};

// The last owner and its epoch, which every change of owner raises by one. Every write of an owner expects this record
// to be unchanged.
struct EpochRecord {
    Epoch epoch = 0;
    NodeName node;

    friend bool operator==(const EpochRecord&, const EpochRecord&) = default;
};

// The node that asks for the ownership, because it may use much more of a processor than the owner.
struct CandidateRecord {
    NodeName node;
    double processorShare = 0;
    // The epoch of the owner that is asked.
    Epoch ownerEpoch = 0;

    friend bool operator==(const CandidateRecord&, const CandidateRecord&) = default;
};

// The number of accepted jobs of each queue of which no task has started.
struct QueueCounts {
    absl::btree_map<QueueName, std::int64_t> waiting;

    friend bool operator==(const QueueCounts&, const QueueCounts&) = default;
};

// Limits the jobs that may be submitted, by the memory that they take at the owner (`jobFootprint`). Whoever submits a
// job expects the revision of this record, so that none is created beside it.
struct AdmissionLimit {
    // The largest footprint of a job, in bytes; 0 for none at all.
    std::int64_t maxJobBytes = 0;
    // The same for an urgent job of an organisation with a guarantee.
    std::int64_t maxGuaranteedJobBytes = 0;

    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};

// A record whose bytes could not be decoded.
struct UnreadableRecord {
    std::string reason;

    friend bool operator==(const UnreadableRecord&, const UnreadableRecord&) = default;
};

using RecordValue = std::variant<std::monostate, Manifest, Evacuation, WorkerEntry, Job, Cancellation, ProgressRecord,
    QueueCounts, AdmissionLimit, HolderRecord, EpochRecord, CandidateRecord, UnreadableRecord>;

// A record as the store holds it. Revision 0 without a value means that the record is absent.
struct Record {
    RecordKey key;
    Revision revision = 0;
    RecordValue value;
};

// Reads one record.
struct ReadRecord {
    RecordKey key;
};

// Reads a whole collection. A watch after the reply's revision reports every later change.
struct ReadCollection {
    Collection collection = Collection::Manifest;
};

// Reads a part of a collection that may be larger than the node's memory.
struct ReadPage {
    Collection collection = Collection::Manifest;
    // Where the page begins: the `nextPage` of the reply for the page before; empty for the first page.
    std::string begin;
};

// Waits up to `wait` for changes of the collection after the revision.
struct WatchCollection {
    Collection collection = Collection::Manifest;
    Revision after = 0;
    absl::Duration wait;
};

// The revision that a commit expects a record to have.
struct ExpectedRevision {
    RecordKey key;
    // 0 expects that the record is absent.
    Revision revision = 0;
};

// One record to write.
struct RecordWrite {
    RecordKey key;
    RecordValue value;
    // The lease that the record is deleted with; 0 for a record without a lease.
    std::int64_t lease = 0;
};

// Applies all writes and removals if every expectation holds, otherwise none.
struct CommitRecords {
    std::vector<ExpectedRevision> expected;
    std::vector<RecordWrite> writes;
    std::vector<RecordKey> removals;
};

// Creates a lease; the reply contains its number.
struct GrantLease {
    absl::Duration timeToLive;
};

// Extends a lease by its time to live.
struct RenewLease {
    std::int64_t lease = 0;
};

// Ends a lease and deletes the records under it.
struct RevokeLease {
    std::int64_t lease = 0;
};

using StoreRequest = std::variant<ReadRecord, ReadCollection, ReadPage, WatchCollection, CommitRecords, GrantLease,
    RenewLease, RevokeLease>;

// The store's reply. The status has one of these kinds: None; StoreRefused if the request was not executed;
// OutcomeUnknown if no reply came, so that the request may have been or may still be executed; RevisionConflict, with
// the present records of all expectations; WatchExpired if the history after the revision is gone; NotFound for a
// record or lease that does not exist.
struct StoreReply {
    absl::Status status;
    // The store's revision at the reply, or the revision of the commit.
    Revision revision = 0;
    std::vector<Record> records;
    // The granted lease.
    std::int64_t lease = 0;
    // For a page: where the next one begins; empty if this is the last one.
    std::string nextPage;
};

// The largest total number of expectations, writes and removals in one commit.
inline constexpr std::size_t maxCommitEntries = 32;

} // namespace mangohall::batch
