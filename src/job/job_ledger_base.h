// The ledger: the jobs whose home is one ledger shard, from acceptance to the end of their retention.
#pragma once

#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "job/attempt_outcome_func.h"
#include "job/job_router_func.h"
#include "job/ledger_type.h"
#include "membership/directory_type.h"
#include "node/outbox_base.h"
#include "ports/random_port.h"

namespace mangohall {

// Owns the jobs of one ledger shard under one epoch. A step becomes visible to others only once the job's record is
// durable. The records of a bucket are written together by compare-and-swap, at most one write at a time, so that a
// burst of requests does not exceed the write rate of the store. A write that is refused because another epoch has
// written deposes the ledger, which then sends no further message. Every message is repeated until it is answered.
class JobLedger {
public:
    JobLedger(ShardName name, Epoch epoch, RandomSource& random, Outbox& outbox);

    const ShardName& name() const { return m_name; }
    Epoch epoch() const { return m_epoch; }
    // Whether every bucket has been read and fenced. Requests and messages are ignored before.
    bool isServing() const { return m_isServing; }
    // Whether another owner has written. The holder has to drop this ledger then.
    bool isDeposed() const { return m_isDeposed; }
    // Accepts no new job from now on, since the shard is being handed over.
    void stopAccepting() { m_isClosing = true; }
    // Whether every change has been written to the store.
    bool isDurable() const;
    std::size_t jobCount() const { return m_jobs.size(); }

    // Reads the buckets from the store and fences them.
    void load(absl::Time now);
    // Sets the directory. The messages of jobs that have a part in a shard with a new owner are soon sent again.
    void setDirectory(DirectorySnapshot directory, absl::Time now);
    // Sets the free capacity that a building shard has reported.
    void setCapacity(const CapacitySummary& summary);

    // These three handle requests from entries. A request is answered with a JobStatus when the record is durable, and
    // again after each durable change of the record until the job ends.
    void submit(const NodeName& entry, const SubmitJob& request, absl::Time now);
    void cancel(const NodeName& entry, const CancelJob& request, absl::Time now);
    void query(const NodeName& entry, const QueryJob& request, absl::Time now);

    // These four handle messages from building shards. A message for an attempt that is over changes nothing.
    void handleCapacityHeld(const CapacityHeld& message, absl::Time now);
    void handleCapacityRefused(const CapacityRefused& message, absl::Time now);
    void handleAttemptPrepared(const AttemptPrepared& message, absl::Time now);
    void handlePartEnded(const PartEnded& message, absl::Time now);

    // Whether this ledger made the store call.
    bool ownsCall(CallId call) const;
    // Handles the reply to a store call of this ledger.
    void handleStoreReply(CallId call, const StoreReply& reply, absl::Time now);

    // Repeats store calls and messages that are due.
    void wake(absl::Time now);
    // When `wake` has to be called next; infinite if nothing is due.
    absl::Time nextWake() const;

private:
    // A job's next wake-up, ordered by time.
    struct JobTimer {
        absl::Time at;
        JobKey key;
        friend bool operator<(const JobTimer& left, const JobTimer& right)
        {
            if (left.at != right.at)
                return left.at < right.at;
            return left.key < right.key;
        }
    };

    // Loading and writing: ledger_persist_cmd.cpp.
    void handleBucketList(const StoreReply& reply, absl::Time now);
    void fenceBuckets(absl::Time now);
    void loadBucket(const StoreEntry& entry);
    void handleWriteReply(BucketState& bucket, const StoreReply& reply, absl::Time now);
    void handleWriteConflict(BucketState& bucket, const StoreReply& reply, absl::Time now);
    // Marks the version that was sent as durable and continues the jobs whose records are durable with it.
    void markBucketDurable(BucketState& bucket, absl::Time now);
    void writeBucket(BucketState& bucket, absl::Time now);
    void writeChangedBuckets(absl::Time now);
    // Removes the jobs that ended longer than endedJobRetention ago.
    void dropExpired(BucketState& bucket, absl::Time now);
    // Starts serving once every bucket is fenced.
    void startServing(absl::Time now);
    std::size_t bucketIndex(const JobKey& key) const;
    // The store key of a bucket, for example "ledger/ledger-00/03".
    std::string bucketKey(std::size_t index) const;
    // Whether the last change of the job's record has been written to the store.
    bool isDurable(const LedgerJob& job) const;
    // Marks the job's record as changed, so that its bucket is written.
    void markChanged(LedgerJob& job);

    // Requests: ledger_request_cmd.cpp.
    LedgerJob& accept(const JobKey& key, const JobSpec& spec, absl::Time now);
    // Tests whether a new job may be accepted. Errors: the kind of an earlier refusal of the request, InvalidValue,
    // UnknownOrganisation, QueueFull.
    absl::Status testAccept(const SubmitJob& request) const;
    // Registers the request as a listener and sends it the present status if the record is durable.
    void addListener(LedgerJob& job, const NodeName& entry, absl::string_view request, absl::Time now);
    void sendStatus(const LedgerJob& job, const Listener& listener);
    void notifyListeners(LedgerJob& job);
    // Refuses a submission and remembers the refusal, so that a repetition is refused too.
    void refuse(const NodeName& entry, const SubmitJob& request, const absl::Status& reason, absl::Time now);
    void refuseOnceConfirmed(const NodeName& entry, JobStatus status, absl::Time now);
    void sendConfirmedRefusals(BucketState& bucket);
    void requestCancel(LedgerJob& job, absl::Time now);

    // Other steps of an attempt: ledger_attempt_cmd.cpp.
    // The job if the attempt is its present one; otherwise null.
    LedgerJob* findAttempt(const AttemptId& attempt);
    AttemptPart* findPart(LedgerJob& job, const ShardName& shard);
    // Drives the job after a change in its progress, with retry delays starting from the shortest again.
    void advance(LedgerJob& job, absl::Time now);
    // Continues a job whose last change has become durable.
    void handleDurableRecord(LedgerJob& job, absl::Time now);
    // Sends the messages that the job's phase requires and schedules their repetition.
    void drive(LedgerJob& job, absl::Time now);
    void driveStarted(LedgerJob& job, absl::Time now);
    // Moves a gang to Released once every part is prepared and the claim is durable.
    void releaseIfPrepared(LedgerJob& job, absl::Time now);
    void abortPart(const LedgerJob& job, const AttemptPart& part);
    // Rebuilds the parts of a loaded job from its placement.
    void restoreParts(LedgerJob& job);
    // Sets the job's timer; an infinite time removes it.
    void wakeJobAt(LedgerJob& job, absl::Time at);
    void scheduleRetry(LedgerJob& job, absl::Time now);
    // Reports the start latency of an urgent job.
    void observeStart(const LedgerJob& job);

    // Reservation of capacity: ledger_reserve_cmd.cpp.
    // Requests capacity for a queued job, or ends the job after its deadline.
    void driveQueued(LedgerJob& job, absl::Time now);
    // Adds one part with all tasks of the job.
    void offerWholeJob(LedgerJob& job, const ShardName& shard);
    // Moves a job that has waited in one shard for several requests to another shard that could start it now.
    void moveToFreeCapacity(LedgerJob& job);
    // Chooses the building shard of a job without parts. Splits the job over shards if none can run all of it.
    void chooseParts(LedgerJob& job);
    // Moves the job to Claimed once every part is held.
    void claimIfHeld(LedgerJob& job, absl::Time now);
    // When capacity is requested again after the given number of refused or failed attempts.
    absl::Time nextAttemptTime(int failures, absl::Time now);

    // End of an attempt: ledger_end_cmd.cpp.
    // Stops the remaining parts after one has failed.
    void stopParts(LedgerJob& job, absl::Time now);
    // Ends or retries the job once every part has ended.
    void finishIfEnded(LedgerJob& job, absl::Time now);
    // Ends the job with the outcome; None means success.
    void endJob(LedgerJob& job, ErrorKind outcome, absl::string_view message, absl::Time now);
    // Queues the job again under the next attempt number.
    void retryJob(LedgerJob& job, absl::string_view checkpoint, absl::Time now);

    const ShardName m_name;
    const Epoch m_epoch;
    RandomSource& m_random;
    Outbox& m_outbox;
    DirectorySnapshot m_directory;
    ShardCapacities m_capacities;

    bool m_isServing = false;
    bool m_isDeposed = false;
    // New jobs are no longer accepted.
    bool m_isClosing = false;
    // Counts the changes of records; its values are the versions of buckets.
    std::uint64_t m_changeCount = 0;
    std::vector<BucketState> m_buckets;
    // The index of the bucket that each pending write is for.
    absl::flat_hash_map<CallId, std::size_t> m_bucketCalls;
    // The pending call that lists the buckets; 0 if there is none.
    CallId m_listCall = 0;
    int m_listFailures = 0;
    absl::Time m_listRetryAt = absl::InfiniteFuture();

    absl::flat_hash_map<JobKey, LedgerJob> m_jobs;
    absl::btree_set<JobTimer> m_timers;
    // The number of queued jobs of each organisation in this shard.
    absl::flat_hash_map<OrganisationName, int> m_queuedByOrganisation;
    // Requests that were refused, so that a repetition gets the same answer and is never accepted late.
    absl::flat_hash_map<std::string, ErrorKind> m_refusedRequests;
    // The refused requests, oldest first.
    std::vector<std::string> m_refusedOrder;
};

// The number of ledger shards. It is fixed, independent of the size of the building, so that a request key always has
// the same home shard.
inline constexpr int ledgerShardCount = 32;

// The ledger shard that is the home of a job.
ShardName homeShardOf(const JobKey& key);

// The name of the ledger shard with the index, "ledger-00" and so on.
ShardName ledgerShardName(int index);

// Whether the shard is a ledger shard, not a building shard.
bool isLedgerShard(const ShardName& shard);

} // namespace mangohall
