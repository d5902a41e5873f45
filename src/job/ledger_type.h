// Plain types of the ledger: a job's record together with the state that the ledger keeps only in memory.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "core/name_type.h"
#include "job/job_type.h"
#include "node/peer_message_type.h"

namespace mangohall {

// The progress of an attempt's part in one building shard, as far as the home shard knows.
enum class PartPhase {
    // The building shard is asked to hold capacity and has not yet done so.
    Requested,
    // The building shard holds capacity for the part.
    Held,
    // Every task of the part is prepared on its worker.
    Prepared,
    // The part has ended; `end` says how.
    Ended,
};

// The tasks of an attempt that one building shard runs.
struct AttemptPart {
    ShardName shard;
    // The index of the part's first task within the job.
    std::int32_t firstTask = 0;
    // The number of tasks in the part.
    std::int32_t tasks = 0;
    PartPhase phase = PartPhase::Requested;
    // The placement of each task; empty until capacity is held.
    std::vector<TaskPlacement> placement;
    // How the part ended, the message for the caller, the checkpoint and the reports of the tasks. All are valid only
    // once the phase is Ended.
    PartEnd end = PartEnd::Lost;
    std::string message;
    std::string checkpoint;
    std::vector<TaskReport> reports;
};

// A request at an entry that is sent the status of a job whenever it changes, until the job ends.
struct Listener {
    NodeName entry;
    // The name of the request at the entry.
    std::string request;
    // The listener is dropped after this time unless the entry repeats the request.
    absl::Time until;
};

// An ended part that its building shard may forget once the job's record is durable.
struct EndToAcknowledge {
    ShardName shard;
    AttemptId attempt;
};

// A job's durable record and the state that lasts only as long as this ledger owns the shard.
struct LedgerJob {
    JobRecord record;
    // The ledger's change count at the last change of the record.
    std::uint64_t changedVersion = 0;
    // The parts of the present attempt; empty if no building shard has been chosen.
    std::vector<AttemptPart> parts;
    std::vector<Listener> listeners;
    // Ends of parts to acknowledge once the record is durable.
    std::vector<EndToAcknowledge> acknowledgements;
    // Building shards that can never run the job.
    std::vector<ShardName> refusedBy;
    // The attempt is being stopped because a part has failed or the job is cancelled.
    bool isStopping = false;
    // How often the present messages have been sent; sets the delay before they are sent again.
    int sendCount = 0;
    // After a refusal or a failed attempt, capacity is not requested before this time.
    absl::Time nextRequestAt = absl::InfinitePast();
    // When the ledger next handles the job without a message; infinite if it has no timer.
    absl::Time wakeAt = absl::InfiniteFuture();
};

// A refusal that is sent only after a later write of the bucket has confirmed that this node still owns the shard.
struct PendingRefusal {
    NodeName entry;
    JobStatus status;
    // The bucket version whose write confirms the ownership.
    std::uint64_t version = 0;
};

// One bucket of the ledger and the progress of its writes. Versions are values of the ledger's change count.
struct BucketState {
    // The store revision of the bucket's last known write; 0 if the bucket does not exist yet.
    Revision modRevision = 0;
    // The version of the last change in memory, of the last write sent, and of the last write confirmed.
    std::uint64_t changedVersion = 0;
    std::uint64_t sentVersion = 0;
    std::uint64_t durableVersion = 0;
    // A write has been sent and not answered.
    bool isWriting = false;
    // The bucket has been written under the present epoch, so that writes of earlier owners fail.
    bool isFenced = false;
    // The estimated size of the records in the store in bytes: as of the last write, plus the jobs accepted since.
    std::size_t bytes = 0;
    // Consecutive failed writes; sets the delay before the next one.
    int failures = 0;
    // When a failed write is repeated; infinite if none is due.
    absl::Time retryAt = absl::InfiniteFuture();
    // The keys of the jobs in the bucket.
    absl::flat_hash_set<JobKey> jobs;
    std::vector<PendingRefusal> refusals;
};

} // namespace mangohall
