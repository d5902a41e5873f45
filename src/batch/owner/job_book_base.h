#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/job/job_progress_base.h"
#include "batch/owner/due_index_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// A run that may be told to its worker once its placement is durable.
struct PlacedRun {
    RunKey run;
    WorkerName worker;
};

// An end that its worker may forget once it is durable.
struct ListedEnd {
    WorkerName worker;
    std::int64_t workerBornMs = 0;
    std::int64_t number = 0;
};

// What waits for the next write of a job's progress.
struct PendingWork {
    std::vector<PlacedRun> placed;
    std::vector<ListedEnd> ends;
};

// One job as the owner holds it.
struct JobEntry {
    explicit JobEntry(Job job)
        : progress(std::move(job))
    {
    }

    JobProgress progress;
    // Of the progress record; 0 while there is none.
    Revision revision = 0;
    bool isDirty = false;
    bool isWriting = false;
    PendingWork pending;
    // Whether the log has told that a guarantee covers the job, and that it is enforced.
    bool isGuaranteeTold = false;
    bool isReclaimTold = false;
    // Since when each ready step has been ready, by occurrence and step.
    absl::btree_map<std::pair<std::int32_t, std::int32_t>, absl::Time> readySince;
};

// All jobs that the owner holds. Not safe to call from several threads.
class JobBook {
public:
    void clear();

    // Takes an accepted job. False if it is known.
    bool add(const Job& job);
    // Takes what an earlier owner has written of a job, which may become known before or after.
    void addProgress(const JobId& job, ProgressRecord record, Revision revision);
    // Notes a wish that may be here before its job.
    void addCancellation(const JobId& job);

    JobEntry* find(const JobId& job);
    const JobEntry* find(const JobId& job) const;
    absl::btree_map<JobId, JobEntry>& entries() { return m_entries; }

    bool isCancelled(const JobId& job) const { return m_cancelled.contains(job.str()); }

    void markDirty(JobEntry& entry);
    // Up to `count` jobs whose progress has to be written, longest waiting first. They are counted as being written.
    std::vector<JobId> takeDirty(std::size_t count);
    bool hasDirty() const { return !m_dirty.empty(); }

    // Jobs without times that have started no task, by queue.
    QueueCounts countWaiting() const;
    // Opens the occurrences that are due. True if one was opened.
    bool openDue(absl::Time now);
    // When the next occurrence of any job is due, at the earliest.
    absl::Time nextDue() const { return m_due.next(); }
    // Jobs that ended before the time and run nothing any more.
    std::vector<JobId> endedBefore(absl::Time time, std::size_t count) const;
    void remove(const JobId& job);

private:
    struct EarlierProgress {
        ProgressRecord record;
        Revision revision = 0;
    };

    void noteDue(const JobEntry& entry);

    absl::btree_map<JobId, JobEntry> m_entries;
    // When the next occurrence of each job is due.
    DueIndex<JobId> m_due;
    absl::flat_hash_map<std::string, EarlierProgress> m_earlier;
    absl::flat_hash_map<std::string, bool> m_cancelled;
    std::vector<JobId> m_dirty;
};

} // namespace mangohall::batch
