// The messages between the nodes of the system. A message may be lost, duplicated or delayed: its sender repeats it
// until it is answered, and its receiver answers a repetition in the same way as the first message. The home shard is
// the ledger shard that holds a job; building shards run its tasks.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "configuration/configuration_type.h"
#include "core/error_type.h"
#include "core/name_type.h"
#include "job/job_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// From an entry to the home shard: accept this job, or answer with the state of the job that has this key already.
struct SubmitJob {
    JobKey key;
    // The name of the caller's request at the entry; its repetitions carry the same name.
    std::string request;
    JobSpec spec;
};

// From an entry to the home shard: stop the job, or prevent it from starting.
struct CancelJob {
    JobKey key;
    std::string request;
};

// From an entry to the home shard: report the state of the job now and when it ends.
struct QueryJob {
    JobKey key;
    std::string request;
};

// From the home shard to an entry: the state of a job. Once the phase is Ended it contains the outcome and the results.
struct JobStatus {
    JobKey key;
    // The name of the request that is answered.
    std::string request;
    // The kind of the refusal if the request itself was refused. Only the message is set besides it then.
    ErrorKind refusal = ErrorKind::None;
    std::string message;
    // From here on the fields have the values of the job's record; see JobRecord.
    JobPhase phase = JobPhase::Queued;
    ErrorKind outcome = ErrorKind::None;
    std::int32_t attempt = 0;
    absl::Time acceptedAt;
    absl::Time releasedAt = absl::InfiniteFuture();
    absl::Time endedAt = absl::InfiniteFuture();
    std::vector<std::string> results;
};

// Identifies one attempt of a job.
struct AttemptId {
    JobKey job;
    // The number of the attempt, counted from 0.
    std::int32_t attempt = 0;

    // The linter mistakes the comparison with zero in the defaulted operator for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
    friend bool operator==(const AttemptId&, const AttemptId&) = default;
    template <typename H> friend H AbslHashValue(H state, const AttemptId& id)
    {
        return H::combine(std::move(state), id.job, id.attempt);
    }
};

// From the home shard to a building shard: hold capacity for a part of the attempt. `firstTask` and `spec.shape.tasks`
// give the tasks of the part; they are fewer than the job's tasks if a gang is split over several shards.
struct ReserveCapacity {
    AttemptId attempt;
    ShardName home;
    JobSpec spec;
    // The checkpoint to resume from, or empty.
    std::string checkpoint;
    // The index of the part's first task within the job.
    std::int32_t firstTask = 0;
    absl::Time acceptedAt;
};

// From a building shard to the home shard: capacity is held for the part until the part is started or aborted or the
// hold lapses.
struct CapacityHeld {
    AttemptId attempt;
    ShardName shard;
    std::vector<TaskPlacement> placement;
};

// From a building shard to the home shard: no capacity is held for the part. The kind is NeverFits if the shard can
// never run the part.
struct CapacityRefused {
    AttemptId attempt;
    ShardName shard;
    ErrorKind kind = ErrorKind::QueueFull;
    std::string message;
    // The part that was requested, given by its first task and its number of tasks. The home shard may have requested a
    // different part in the meantime.
    std::int32_t firstTask = 0;
    std::int32_t tasks = 0;
};

// From the home shard to a building shard: the claim is durable, start the tasks of the part. The tasks of a job with
// more than one task are started with their processor share throttled to zero.
struct StartAttempt {
    AttemptId attempt;
    ShardName home;
    JobSpec spec;
    std::string checkpoint;
    std::vector<TaskPlacement> placement;
};

// From a building shard to the home shard: every task of the part is prepared on its worker.
struct AttemptPrepared {
    AttemptId attempt;
    ShardName shard;
};

// From the home shard to a building shard: every task of the gang is prepared and the release is durable, let the tasks
// of the part run.
struct ReleaseAttempt {
    AttemptId attempt;
    ShardName home;
    JobSpec spec;
    std::vector<TaskPlacement> placement;
};

// From the home shard to a building shard: stop the part, or release the hold. `placement` is empty if the part was not
// claimed.
struct AbortAttempt {
    AttemptId attempt;
    ShardName home;
    std::vector<TaskPlacement> placement;
};

// How a part of an attempt ended.
enum class PartEnd {
    // Every task of the part succeeded.
    Succeeded,
    // A task failed on its own.
    Failed,
    // It is proved that no task of the part has executed anything and that none ever will.
    NeverRan,
    // The part was stopped after its tasks may have executed, and it is proved that none of them runs any more.
    Stopped,
    // The part was stopped because its capacity was reclaimed; none of its tasks runs any more.
    Evicted,
    // A worker was lost. None of the part's tasks runs any more, but how far they executed is not known.
    Lost,
};

// From a building shard to the home shard: the part has ended. Repeated until it is answered by EndAcknowledged.
struct PartEnded {
    AttemptId attempt;
    ShardName shard;
    PartEnd end = PartEnd::Lost;
    // The reason of the end, for the caller.
    std::string message;
    // The checkpoint that the part left, or empty.
    std::string checkpoint;
    // The reports of the tasks; each names its task index.
    std::vector<TaskReport> tasks;
};

// From the home shard to a building shard: the end is durable, forget the part.
struct EndAcknowledged {
    AttemptId attempt;
};

// The declared resources that changed between two revisions, in revision order. It is meant for a relay that
// distributes the configuration to the members of its region; no node sends it at present.
struct ConfigDelta {
    Revision fromRevision = 0;
    Revision toRevision = 0;
    std::vector<ConfigObject> changed;
    std::vector<std::string> deletedKeys;
    // Whether `changed` is the whole configuration at `toRevision`.
    bool isWhole = false;
};

// From a member to every other member: the configuration revision that the sender has applied.
struct RevisionReport {
    Revision revision = 0;
};

// The configuration revisions that the members of a region have applied. It is meant for a relay that reports to
// entries; no node sends it at present.
struct RegionRevisions {
    RegionName region;
    // The smallest revision that any live member of the region has reported.
    Revision inForce = 0;
    std::vector<NodeName> lagging;
};

// The free capacity of a building shard, for routing. Sent when it changes, at most once in a period.
struct CapacitySummary {
    ShardName shard;
    std::int32_t freeAccelerators = 0;
    // The largest number of accelerators that are free on one worker and in one rack.
    std::int32_t largestFreeWorker = 0;
    std::int32_t largestFreeRack = 0;
    // The number of tasks that wait for capacity in the shard.
    std::int32_t queuedTasks = 0;
};

using PeerPayload = std::variant<SubmitJob, CancelJob, QueryJob, JobStatus, ReserveCapacity, CapacityHeld,
    CapacityRefused, StartAttempt, AttemptPrepared, ReleaseAttempt, AbortAttempt, PartEnded, EndAcknowledged,
    ConfigDelta, RevisionReport, RegionRevisions, CapacitySummary>;

// A message with its sender and receiver.
struct PeerMessage {
    NodeName from;
    // The shard that the message is for; empty if it is for the node as a whole.
    ShardName shard;
    PeerPayload payload;
};

} // namespace mangohall
