#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/allocation_input_func.h"
#include "batch/owner/job_registry_base.h"
#include "batch/owner/owner_load_base.h"
#include "batch/owner/ownership_base.h"
#include "batch/owner/ownership_request_base.h"
#include "batch/owner/progress_writer_base.h"
#include "batch/owner/stop_reason_type.h"
#include "batch/owner/worker_registry_base.h"
#include "batch/policy/allocation_policy_base.h"
#include "batch/store/collection_follower_base.h"
#include "core/work_pacer_base.h"

namespace mangohall::batch {

// The part of a node that manages all jobs and workers while the node is the owner: follows the jobs and workers in the
// store, decides on which workers tasks start, renews the workers' leases, and makes every placement and end durable
// before it is acted on.
class OwnerPart : public NodePart, private StartSource {
public:
    // The clock has to outlive the part. It only measures how long an allocation round takes.
    OwnerPart(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy);

    // Handles one event and returns the resulting effects. Safe to call from several threads.
    Effects handle(const Event& event, absl::Time now) override;

private:
    // Delay before a failed read is repeated.
    static constexpr absl::Duration loadRetryPeriod = absl::Milliseconds(150);

    // What has been read from the store since the node became the owner.
    struct Loading {
        bool hasJobs = false;
        bool hasWorkers = false;
        bool hasProgress = false;
        bool hasCounts = false;
        bool hasAdmission = false;
        CallId progressCall = 0;
        CallId countsCall = 0;
        CallId admissionCall = 0;
        // Where the next page of the progress begins.
        std::string nextProgressPage;
        // When a failed read may be repeated.
        absl::Time retryAt = absl::InfinitePast();
        // Everything has been read and the runs in the store are adopted.
        bool isDone = false;
        absl::Time doneAt = absl::InfiniteFuture();
    };

    void handleEvent(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyOwnershipUpdate(const OwnershipUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advanceLoading(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void finishLoading(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Reserves capacity for the job's placed tasks, and stops its runs if it is final.
    void adoptRuns(JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyProgress(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyCounts(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyAdmission(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Reads the job again that was deferred first, once there is room for it.
    void loadDeferred(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyDeferred(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Counts the memory of the jobs anew, at intervals.
    void reviewMemory(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyJobs(const CollectionUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyWorkers(const CollectionUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Holds the job, or defers it if there is no room for it.
    void addJob(const Job& job, Revision revision, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void holdJob(const Job& job, Revision revision, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Keeps a job in the store only, until there is room for it.
    void deferJob(const Job& job, Revision revision, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancelJob(const JobId& job, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopRunsOf(JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopGangOf(JobEntry& entry, const RunKey& run, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopRun(const RunKey& run, const WorkerName& worker, StopReason reason, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyWorkerUpdate(const WorkerUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleRunEnd(const EndedRun& ended, const WorkerUpdate& update, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Keeps the room of a run that has not started from being given away until the next write of the job, and gives
    // the room of such runs back.
    void withholdRoom(JobEntry& entry, const RunKey& run, const WorkerName& worker)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void releaseRooms(absl::Span<const PlacedRun> withdrawn) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether a start of the run may still be executed by the worker.
    bool mayStillStart(const RunKey& run, const WorkerName& worker) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordStarted(const RunKey& run, const WorkerName& worker, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleRunningRow(const RunningRow& row, const WorkerName& worker, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Records by when the unsettled runs on a silent worker have ended, for the next owner; withdraws that before a
    // worker that replies again gets anything that may put off their ends.
    void recordLapses(const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void withdrawLapses(const WorkerName& worker) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordHealth(const EndedRun& ended, const WorkerName& worker, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Records stalled runs against the worker, and stops the runs that are better started elsewhere.
    void reviewWorker(const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyWriteUpdate(const WriteUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleRefusedRecord(const JobId& job, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void releaseRun(const PlacedRun& placed, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyEvacuations(const RoutesEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether the list of workers is known to be new enough to start runs on it.
    bool isWorkerListCurrent(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether the evacuations are known to be new enough to start runs.
    bool areEvacuationsCurrent(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Lets starts be sent only while the list of workers and the evacuations are current, and logs when that changes.
    void reviewStarts(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // When the next allocation round may begin; the infinite future if none is due.
    absl::Time nextAllocation(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Runs one allocation round: places tasks and stops the evicted runs.
    void allocate(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void place(absl::Span<const Placement> placements, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void evict(absl::Span<const Eviction> evictions, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void placeRun(const RunKey& run, const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advance(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Drops what was placed and not sent, so that the next owner finds no start in doubt that was not sent.
    void beginHandover(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether a draining owner has heard of its starts and has written what it knows, or has no more time for that.
    bool isHandoverDone(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Hands over to a node on a larger machine that asks for the ownership.
    void advanceYield(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Gives up the ownership of a draining node, and notifies the directory part once that is done.
    void advanceDrain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether the owner starts nothing any more, because it drains or hands over.
    bool isHandingOver() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_isDraining || m_isYielding; }
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logJobEnd(const JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logRun(DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker, absl::string_view outcome = "",
        absl::string_view reason = "", absl::Duration age = absl::InfiniteDuration())
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // A decision about a run, with what the owner knows of its worker's process.
    DecisionEffect describeRun(DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logAllocation(const Allocation& allocation, const AllocationInput& input, absl::Duration took, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logGuarantees(const AllocationInput& input, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs why steps were not placed, unless it has been logged already.
    void logHeldJobs(absl::Span<const HeldStep> held, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs, at intervals, for which placed run each job waits that has nothing running.
    absl::Time nextHeldRunReview() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reviewHeldRuns(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logHeldRun(const JobEntry& entry, const HeldRun& held, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs, at intervals, that the owner does not keep up with its work.
    void reviewLoad(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs once that all first tasks of a job have started that a guarantee covers.
    void logGuaranteeMet(JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logQuarantine(const WorkerName& worker, absl::Duration duration) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs, once for each job, that it waits for the end of a run on a silent worker.
    void logUnsettledRun(JobEntry& entry, const RunKey& run, const WorkerName& worker, absl::Time lapsesAt,
        absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs what became of a start command.
    void logStart(const WorkerUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logUnansweredRenewal(const WorkerUpdate& update) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logWorker(const WorkerUpdate& update) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logWorkerList(bool isCurrent, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logEvacuationAge(bool isCurrent, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logUnreadable(const Record& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    StartRun describeStart(const RunKey& run) const override ABSL_NO_THREAD_SAFETY_ANALYSIS;

    const NodeSettings m_settings;
    const Clock& m_clock;
    const std::unique_ptr<AllocationPolicy> m_policy;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Ownership m_ownership ABSL_GUARDED_BY(m_mutex);
    OwnershipRequest m_request ABSL_GUARDED_BY(m_mutex);
    Loading m_loading ABSL_GUARDED_BY(m_mutex);
    CollectionFollower m_jobFollower ABSL_GUARDED_BY(m_mutex);
    CollectionFollower m_workerFollower ABSL_GUARDED_BY(m_mutex);
    JobRegistry m_jobs ABSL_GUARDED_BY(m_mutex);
    WorkerRegistry m_workers ABSL_GUARDED_BY(m_mutex);
    ProgressWriter m_writer ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    // The routes and the evacuations were known to be the latest at this time.
    absl::Time m_directoryConfirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // What was logged last of the age of the list of workers and of the evacuations.
    bool m_wasWorkerListCurrent ABSL_GUARDED_BY(m_mutex) = true;
    bool m_wereEvacuationsCurrent ABSL_GUARDED_BY(m_mutex) = true;
    // The read of a deferred job, and when the next one may begin; 0 if none is pending.
    CallId m_deferredCall ABSL_GUARDED_BY(m_mutex) = 0;
    JobId m_deferredJob ABSL_GUARDED_BY(m_mutex);
    absl::Time m_deferredRetryAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    absl::Time m_memoryReviewedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    absl::Time m_heldRunsReviewedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // Something has changed that may let a task start.
    bool m_isAllocationDue ABSL_GUARDED_BY(m_mutex) = false;
    // When the last allocation round began.
    absl::Time m_allocatedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    WorkPacer m_allocationPacer ABSL_GUARDED_BY(m_mutex);
    OwnerLoad m_load ABSL_GUARDED_BY(m_mutex);
    // The last allocation round had tasks that wait for capacity.
    bool m_hasPendingSteps ABSL_GUARDED_BY(m_mutex) = false;
    // The node shuts down and gives up the ownership; the directory part has been notified once that is done.
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrained ABSL_GUARDED_BY(m_mutex) = false;
    // The owner hands over to a node that has asked for the ownership.
    bool m_isYielding ABSL_GUARDED_BY(m_mutex) = false;
    // When an owner that hands over gives up the ownership at the latest; the infinite past before it has begun to.
    absl::Time m_handoverEndsAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace mangohall::batch
