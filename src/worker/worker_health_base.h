// Detects workers on which tasks fail that succeed elsewhere.
#pragma once

#include <list>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "core/name_type.h"
#include "job/job_type.h"

namespace mangohall {

// Whether a worker may get work.
enum class WorkerFitness {
    // The worker may get any work.
    Healthy,
    // The worker gets no work until its backoff has passed.
    Quarantined,
    // The worker may get one task, the probe, whose end decides.
    MayProbe,
    // The worker has the probe and gets no other work.
    Probing,
};

// Rates each worker by how much more often tasks fail on it than on its peers, compared within the same organisation
// and service. If tasks of one job fail on several workers, the job is at fault, and the workers are no longer charged
// with its failures. A worker that is charged with too many failures is quarantined, probed with one task after a
// backoff that doubles with each failed probe, and released from quarantine by its first success.
class WorkerHealth {
public:
    // Records that a task of the job succeeded on the worker. Releases the worker from quarantine.
    void recordSuccess(const WorkerName& worker, const JobKey& job, const ServiceName& service, absl::Time now);
    // Records that a task of the job failed on its own on the worker. May quarantine the worker.
    void recordFailure(const WorkerName& worker, const JobKey& job, const ServiceName& service, absl::Time now);
    void removeWorker(const WorkerName& worker);

    WorkerFitness fitness(const WorkerName& worker, absl::Time now) const;
    // Marks a worker in the state MayProbe as having its probe; in any other state changes nothing.
    void beginProbe(const WorkerName& worker, absl::Time now);
    // Ends a probe without a result, for example because its task was cancelled.
    void abandonProbe(const WorkerName& worker);
    // When the next quarantined worker may be probed; infinite if there is none.
    absl::Time nextProbeAt() const;

private:
    // Counts of ended and failed tasks. The counts are halved when they reach a limit, so that old tasks lose weight.
    struct TaskCounts {
        double ended = 0;
        double failed = 0;

        void add(bool isFailure);
    };

    // Tasks whose failure rates are comparable.
    struct WorkKind {
        OrganisationName organisation;
        ServiceName service;

        friend bool operator==(const WorkKind&, const WorkKind&) = default;
        template <typename H> friend H AbslHashValue(H state, const WorkKind& kind)
        {
            return H::combine(std::move(state), kind.organisation, kind.service);
        }
    };

    // The history of one worker.
    struct WorkerRecord {
        absl::flat_hash_map<WorkKind, TaskCounts> countsByKind;
        // The failures beyond the failure rate of the peers, and the number of ended tasks. Both are halved when the
        // number of ended tasks reaches a limit.
        double excessFailures = 0;
        double endedTasks = 0;
        bool isQuarantined = false;
        // The worker has its probe; meaningful while it is quarantined.
        bool isProbing = false;
        // When the worker may be probed; meaningful while it is quarantined.
        absl::Time probeAt;
        // The length of the present quarantine; 0 if the worker is healthy.
        absl::Duration backoff;
    };

    // The failure of a job on one worker.
    struct ChargedFailure {
        WorkerName worker;
        // What the failure added to the excess failures of the worker.
        double amount = 0;
    };

    // A job that has failed, with its failures on different workers.
    struct FailingJob {
        std::vector<ChargedFailure> failures;
        // The position in m_recentFailingJobs.
        std::list<JobKey>::iterator recency;
    };

    // The failure rate of the kind on all workers but this one, 0 to 1.
    double peerFailureRate(const WorkerRecord& record, const WorkKind& kind) const;
    // Counts an ended task for the worker and for the kind.
    void count(WorkerRecord& record, const WorkKind& kind, bool isFailure);
    // Charges the worker with a failure of the job, once per job. Removes the charges of all workers as soon as the job
    // has failed on several.
    void chargeFailure(const WorkerName& worker, WorkerRecord& record, const JobKey& job, double amount);
    FailingJob& failingJob(const JobKey& job);
    void quarantine(WorkerRecord& record, absl::Time now);
    static bool shouldQuarantine(const WorkerRecord& record);

    absl::flat_hash_map<WorkerName, WorkerRecord> m_workers;
    // The counts of each kind over all workers.
    absl::flat_hash_map<WorkKind, TaskCounts> m_kinds;
    absl::flat_hash_map<JobKey, FailingJob> m_failingJobs;
    // The failing jobs in the order of their first failure, the latest first. Beyond a limit the oldest are dropped.
    std::list<JobKey> m_recentFailingJobs;
};

} // namespace mangohall
