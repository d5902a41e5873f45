// Simulates the execution of a trial plan with the waiting queue and the placement pool, in simulated time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "job_list_func.h"
#include "placement/load_estimator_base.h"
#include "placement/placement_pool_base.h"
#include "placement/scheduling_pass_base.h"
#include "placement/waiting_queue_base.h"

namespace mangohall {

// The results of a trial.
struct TrialMetrics {
    // Time from arrival to completion, the median over all jobs.
    double completionMedianMs = 0;
    // The same at the 99th percentile, over the jobs with a deadline only.
    double completionP99Ms = 0;
    // The lower limit of `completionP99Ms`: its value if no job ever waited.
    double completionFloorP99Ms = 0;
    // The number of jobs that completed after their deadline.
    double deadlinesMissed = 0;
    // The mean share of idle accelerators that the largest guaranteed or waiting shape could not use.
    double fragmentation = 0;
    // Accelerator time of work that was not lost, as a share of the accelerator time available while jobs arrived.
    double utilisation = 0;
    // The share of jobs with TrialJob::isReclaim that started within the time limit.
    double reclaimSucceededShare = 0;
};

// The policy that a trial evaluates.
struct TrialPolicy {
    // Selects the baseline: first fit in the order of arrival, with the declared run times.
    bool isBaseline = false;
    // Policy::completionWeight; the baseline does not use it.
    double completionWeight = 0.5;
};

// Runs a plan under a policy once. Every job runs to its end, even after its deadline. A job that an eviction or a
// worker outage stops goes back into the queue. After an eviction it keeps its progress, as from a checkpoint; after an
// outage the progress of the stopped attempt is lost.
class PolicyTrial {
public:
    // The plan has to outlive the trial.
    PolicyTrial(const TrialPlan& plan, const TrialPolicy& policy);
    ~PolicyTrial();

    // Simulates until every job has ended and returns the results. May be called once.
    TrialMetrics run();

private:
    class Shard;

    // An attempt that cannot start before its borrowers have been evicted. `job` is an index into TrialPlan::jobs.
    struct WaitingAttempt {
        std::size_t job = 0;
        std::int32_t attempt = 0;
    };

    struct JobState {
        // The run time that is left.
        absl::Duration remaining;
        std::int32_t attempt = 0;
        bool isRunning = false;
        absl::Time startedAt;
        absl::Time endedAt = absl::InfiniteFuture();
        // The number of borrowers that have to be evicted before the job can start.
        int pendingEvictions = 0;
        // Attempts that wait for the eviction of this job.
        std::vector<WaitingAttempt> waitingAttempts;
        bool isBeingEvicted = false;
        bool isReclaimedInTime = false;
        // Where its tasks occupy capacity; empty while the job waits.
        std::vector<TaskPlacement> placement;
    };

    using Action = std::function<void()>;

    // Adds an action to run when the simulated time reaches `time`.
    void schedule(absl::Time time, Action action);
    // Puts the job into the queue of its shard.
    void submit(std::size_t job);
    // Evicts the borrowers that the choice names and starts the job when all have gone.
    void applyPlacement(std::size_t job, const PlacementDecision& choice);
    void start(std::size_t job);
    // Does nothing if the attempt is over already.
    void end(std::size_t job, std::int32_t attempt);
    // Begins an eviction, unless one is in progress.
    void evict(std::size_t job);
    void finishEviction(std::size_t job, std::int32_t attempt);
    // Frees the capacity of the job and starts the attempts that waited for no other eviction.
    void release(std::size_t job);
    // Removes the worker, requeues the jobs that used it, and schedules its return.
    void startOutage(const WorkerOutage& outage);
    // Records the fragmentation and schedules the next sample.
    void sampleFragmentation();
    // Adds the last `elapsed` of the job to the useful work, as far as jobs still arrived then.
    void recordWork(std::size_t job, absl::Duration elapsed);
    AttemptId attemptOf(std::size_t job) const;
    TrialMetrics metrics() const;

    const TrialPlan& m_plan;
    TrialPolicy m_policy;
    absl::Time m_now;
    // The actions that are still to run, by their simulated time.
    std::multimap<absl::Time, Action> m_actions;
    std::vector<std::unique_ptr<Shard>> m_shards;
    // In the order of TrialPlan::jobs.
    std::vector<JobState> m_jobs;
    absl::flat_hash_map<JobKey, std::size_t> m_jobsByKey;
    LoadEstimator m_estimator;
    // The number of jobs that have not ended.
    std::size_t m_openJobs = 0;
    // Accelerator time of work that was not lost, in seconds.
    double m_usefulAcceleratorSeconds = 0;
    // Sum and number of the fragmentation samples.
    double m_fragmentationSum = 0;
    int m_fragmentationSamples = 0;
};

} // namespace mangohall
