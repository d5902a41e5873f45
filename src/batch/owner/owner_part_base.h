#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/demand_func.h"
#include "batch/owner/fleet_base.h"
#include "batch/owner/job_book_base.h"
#include "batch/owner/ownership_base.h"
#include "batch/owner/progress_writer_base.h"
#include "batch/policy/allocation_policy_base.h"
#include "batch/store/collection_follower_base.h"
#include "core/work_pacer_base.h"

namespace mangohall::batch {

// Owns jobs and workers while it is this node's turn: learns of jobs and workers from the store, decides who starts
// where, keeps the workers' leases, and makes every placement and end durable before anybody acts on it.
class OwnerPart : public NodePart, private StartSource {
public:
    // The clock has to outlive the part.
    OwnerPart(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy);

    Effects handle(const Event& event, absl::Time now) override;

private:
    // Before a reading that has failed is tried again.
    static constexpr absl::Duration loadRetryPeriod = absl::Milliseconds(150);

    // What has been read since the ownership was taken.
    struct Loading {
        bool hasJobs = false;
        bool hasWorkers = false;
        bool hasProgress = false;
        bool hasCounts = false;
        CallId progressCall = 0;
        CallId countsCall = 0;
        absl::Time retryAt = absl::InfinitePast();
        bool isDone = false;
        absl::Time doneAt = absl::InfiniteFuture();
    };

    void take(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeOwnership(const OwnershipNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advanceLoading(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void finishLoading(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void adoptRuns(JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeProgress(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeCounts(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeJobs(const CollectionNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeWorkers(const CollectionNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void learnJob(const Job& job, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancelJob(const JobId& job, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopRunsOf(JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopGangOf(JobEntry& entry, const RunKey& run, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stopRun(const RunKey& run, const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeFleetNews(const FleetNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeEnd(const EndedRun& ended, const FleetNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeRunning(const RunningRow& row, const WorkerName& worker, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void noteHealth(const EndedRun& ended, const WorkerName& worker, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reviewWorker(const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeWritten(const WriteNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void releaseRun(const PlacedRun& placed, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextAllocation() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void allocate(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void place(absl::Span<const Placement> placements, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void placeRun(const RunKey& run, const WorkerName& worker, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advance(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void advanceDrain() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logJobEnd(const JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logRun(DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker, absl::string_view outcome)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logChoice(const Allocation& allocation, const AllocationInput& input, absl::Duration took, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logGuarantees(const AllocationInput& input, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logWorker(const FleetNews& news) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void logUnreadable(const Record& record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    StartRun describeStart(const RunKey& run) const override ABSL_NO_THREAD_SAFETY_ANALYSIS;

    const NodeSettings m_settings;
    const Clock& m_clock;
    const std::unique_ptr<AllocationPolicy> m_policy;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Ownership m_ownership ABSL_GUARDED_BY(m_mutex);
    Loading m_loading ABSL_GUARDED_BY(m_mutex);
    CollectionFollower m_jobFollower ABSL_GUARDED_BY(m_mutex);
    CollectionFollower m_workerFollower ABSL_GUARDED_BY(m_mutex);
    JobBook m_book ABSL_GUARDED_BY(m_mutex);
    Fleet m_fleet ABSL_GUARDED_BY(m_mutex);
    ProgressWriter m_writer ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    // Something has changed that may let a task start.
    bool m_isAllocationDue ABSL_GUARDED_BY(m_mutex) = false;
    absl::Time m_allocatedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    WorkPacer m_choicePacer ABSL_GUARDED_BY(m_mutex);
    bool m_hasUnplaced ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrained ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall::batch
