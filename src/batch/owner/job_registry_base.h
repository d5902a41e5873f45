#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/job/job_footprint_func.h"
#include "batch/job/job_progress_base.h"
#include "batch/owner/due_index_base.h"
#include "batch/owner/job_wait_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// A run and the worker that it is placed on.
struct PlacedRun {
    RunKey run;
    WorkerName worker;
};

// The end of a run that may be acknowledged to its worker once the end is durable.
struct ListedEnd {
    WorkerName worker;
    // When the worker's process started, in Unix milliseconds.
    std::int64_t workerProcessStartMs = 0;
    // The sequence number of the end in the list of that process.
    std::int64_t number = 0;
};

// The actions that wait until the next write of a job's progress is durable.
struct PendingWork {
    // Runs whose start may be sent to their worker.
    std::vector<PlacedRun> placed;
    std::vector<ListedEnd> ends;
    // Runs whose recorded lapse is withdrawn by the write, so that their worker may get starts and renewals again.
    std::vector<PlacedRun> withdrawnLapses;
    // Runs that the write does not show as placed any more, so that their worker may give their room away.
    std::vector<PlacedRun> withdrawn;
};

// One job of the registry, with the state of its writes.
struct JobEntry {
    JobEntry(Job job, const RecordLimits& limits)
        : progress(std::move(job), limits)
    {
    }

    JobProgress progress;
    // The store revision of the progress record; 0 if there is none.
    Revision revision = 0;
    // The progress has changed since the last write began.
    bool isDirty = false;
    // The progress has changed in what need not be written soon.
    bool isDirtyLater = false;
    // A write of the progress is pending.
    bool isWriting = false;
    // The store has refused the progress as invalid, so it is written without that of other jobs.
    bool isWrittenAlone = false;
    PendingWork pending;
    // Whether it has been logged that a guarantee covers the job, that it is enforced by eviction, and that it is met.
    bool isGuaranteeLogged = false;
    bool isReclaimLogged = false;
    bool isGuaranteeMetLogged = false;
    // Whether it has been logged that the job waits for the end of a run on a silent worker.
    bool isUnsettledRunLogged = false;
    // What the job takes without its placed tasks (`jobFootprint`).
    std::int64_t footprint = 0;
    JobWait wait;
    // Where the next allocation round goes on with the job's steps.
    ReadyCursor readyCursor;
    // The time since when each ready step has been ready, by occurrence and step.
    absl::btree_map<std::pair<std::int32_t, std::int32_t>, absl::Time> readySince;
};

// A job that is not held, as the owner has too little memory left: its record is read again later.
struct DeferredJob {
    QueueName queue;
    absl::Time acceptedAt;
    std::int64_t footprint = 0;
    bool hasTimes = false;
};

// The registry of all jobs that the owner holds. Not safe to call from several threads.
class JobRegistry {
public:
    explicit JobRegistry(const RecordLimits& limits = {}, std::int64_t budgetBytes = defaultJobMemoryBytes)
        : m_limits(limits)
        , m_budgetBytes(budgetBytes)
    {
    }

    void clear();

    // Adds an accepted job by its record of this revision. Returns false and changes nothing if the registry has the
    // job already, or has removed it later: a read that began before the removal may still show it.
    bool add(const Job& job, Revision revision = unknownRevision);
    // Whether the budget has room for the job, or it has to be held all the same, as an earlier owner has begun it.
    bool hasRoomFor(const Job& job) const;
    // Remembers a job that is not held for now. Does nothing if the registry holds it, or has removed it later.
    void defer(const Job& job, Revision revision);
    bool isDeferred(const JobId& job) const { return m_deferred.contains(job); }
    const absl::btree_map<JobId, DeferredJob>& deferred() const { return m_deferred; }
    // The deferred job that was accepted first, if the budget has room for it now.
    absl::optional<JobId> nextDeferred() const;
    // Forgets a deferred job, which is held from now on or has been removed.
    void removeDeferred(const JobId& job) { m_deferred.erase(job); }
    // Holds a deferred job without its specification, so that it can be cancelled.
    JobEntry& addDeferredForCancellation(const JobId& job);

    // The memory that the jobs take and may take, in bytes.
    std::int64_t heldBytes() const { return m_footprints + m_placedTaskBytes; }
    std::int64_t budgetBytes() const { return m_budgetBytes; }
    // How many more tasks may be placed.
    std::int64_t roomForTasks() const;
    // Counts anew what placed tasks take, and frees the details of jobs that were settled before the time.
    void reviewMemory(absl::Time settledBefore);

    // Applies a progress record that an earlier owner has written. It may be read before or after its job.
    void addProgress(const JobId& job, ProgressRecord record, Revision revision);
    // Records the request to cancel a job, which may be read before the job.
    void addCancellation(const JobId& job);

    // The entry of the job; nullptr if the registry does not have it.
    JobEntry* find(const JobId& job);
    const JobEntry* find(const JobId& job) const;
    absl::btree_map<JobId, JobEntry>& entries() { return m_entries; }
    const absl::btree_map<JobId, JobEntry>& entries() const { return m_entries; }

    bool isCancelled(const JobId& job) const { return m_cancelled.contains(job.str()); }

    // Queues the job's progress for the next write.
    void markDirty(JobEntry& entry);
    // Queues the job's progress for a write that other writes go before.
    void markDirtyLater(JobEntry& entry);
    // Queues the progress of a job that the store has refused for a write of its own at this time.
    void postpone(JobEntry& entry, absl::Time until);
    // Queues the jobs that were postponed until this time.
    void queuePostponed(absl::Time now);
    // When the next postponed job is queued; the infinite future if there is none.
    absl::Time nextPostponed() const { return m_postponed.next(); }
    // Returns up to `count` jobs whose progress has to be written, longest waiting first, and marks them as being
    // written; one that is written alone comes without others. With `takesLater`, those whose progress need not be
    // written soon come last.
    std::vector<JobId> takeDirty(std::size_t count, bool takesLater);
    bool hasDirty() const { return !m_dirty.empty(); }
    bool hasDirtyLater() const { return !m_dirtyLater.empty(); }

    // The number of unfinished jobs without scheduled times of which no task has started, by queue.
    QueueCounts countWaiting() const;
    // Opens the occurrences that are due by the time. Returns whether one was opened.
    bool openDueOccurrences(absl::Time now);
    // When the next occurrence of any job is due; the infinite future if there is none.
    absl::Time nextDue() const { return m_due.next(); }
    // Up to `count` jobs that ended before the time, have no placed tasks, and whose progress is written.
    std::vector<JobId> endedBefore(absl::Time time, std::size_t count) const;
    // Removes the job, which the store has done with this revision.
    void remove(const JobId& job, Revision revision);

private:
    // Newer than every removal.
    static constexpr Revision unknownRevision = std::numeric_limits<Revision>::max();
    // How many removals are remembered; a read takes far less time than so many.
    static constexpr std::size_t rememberedRemovals = 4096;

    struct StoredProgress {
        ProgressRecord record;
        Revision revision = 0;
    };

    // The most that records take that are written together, in bytes, unless a single one takes more.
    static constexpr std::int64_t maxBytesTogether = std::int64_t { 1 } << 20U;

    // How many jobs at the front of the queue are written together, at most `count`.
    std::size_t writtenTogether(std::size_t count) const;
    static void markWriting(JobEntry& entry);
    // Frees what is not needed any more of a job that is settled.
    void releaseDetails(JobEntry& entry);
    bool hasRoomFor(std::int64_t footprint) const;
    bool wasRemovedSince(const JobId& job, Revision revision) const;
    void updateDueTime(const JobEntry& entry);

    const RecordLimits m_limits;
    const std::int64_t m_budgetBytes;
    // The sum of the jobs' footprints, and what their placed tasks took at the last review.
    std::int64_t m_footprints = 0;
    std::int64_t m_placedTaskBytes = 0;
    absl::btree_map<JobId, DeferredJob> m_deferred;
    absl::btree_map<JobId, JobEntry> m_entries;
    // When each refused job is queued again.
    DueIndex<JobId> m_postponed;
    // When the next occurrence of each job is due.
    DueIndex<JobId> m_due;
    // Progress records whose job has not been read yet.
    absl::flat_hash_map<std::string, StoredProgress> m_unmatchedProgress;
    // The revisions of the last removals, and their jobs in order.
    absl::flat_hash_map<std::string, Revision> m_removed;
    std::deque<std::string> m_removalOrder;
    // Jobs with a request to cancel them.
    absl::flat_hash_map<std::string, bool> m_cancelled;
    // Jobs whose progress has to be written, longest waiting first.
    std::vector<JobId> m_dirty;
    // Jobs whose progress need not be written soon, among them some that were written meanwhile.
    std::deque<JobId> m_dirtyLater;
};

} // namespace mangohall::batch
