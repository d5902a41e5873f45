#pragma once

#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/job_registry_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// The actions that a finished write permits.
struct WriteUpdate {
    std::vector<PlacedRun> placed;
    std::vector<ListedEnd> ends;
    std::vector<PlacedRun> withdrawnLapses;
    std::vector<PlacedRun> withdrawn;
    // The commit failed because another owner has raised the epoch.
    bool isSuperseded = false;
    // The store gave no reply, or refused the commit. The work is queued again.
    bool isFailed = false;
    // The job whose progress the store refuses, as it is too large or malformed; written again only later.
    absl::optional<JobId> refusedJob;
};

// Writes the progress of jobs, many in one commit and one commit at a time. Each commit expects the owner's epoch and
// the present revision of every record that it changes, so a commit that is executed late changes nothing. Not safe to
// call from several threads.
class ProgressWriter {
public:
    explicit ProgressWriter(JobRegistry& jobs)
        : m_jobs(jobs)
    {
    }

    // Drops all state of an earlier ownership.
    void reset();
    // Sets the queue counts as an earlier owner has written them.
    void setWrittenCounts(const QueueCounts& counts, Revision revision);

    // Sets the limit on submissions as an earlier owner has written it.
    void setWrittenAdmission(const absl::optional<AdmissionLimit>& limit, Revision revision);

    // Writes from now on also at once what need not be written soon.
    void setWritesAll()
    {
        m_writesAll = true;
        m_retryAt = absl::InfinitePast();
    }
    // Whether no commit is pending and no progress is left to write.
    bool hasWrittenAll() const { return m_call == 0 && !m_jobs.hasDirty() && !m_jobs.hasDirtyLater(); }

    // Sends a commit if none is pending and there is something to write. `ownership` is the expectation that every
    // write of the owner has to contain.
    void advance(const ExpectedRevision& ownership, Outbox& outbox, absl::Time now);
    // When `advance` has something to do next; the infinite future while a commit is pending.
    absl::Time nextDue() const;

    // Whether the call is the pending commit.
    bool ownsCall(CallId call) const { return call != 0 && call == m_call; }
    // Applies the reply to the pending commit, or its failure.
    WriteUpdate handleReply(const StoreReply& reply, absl::Time now);

private:
    // Each job takes two entries, an expectation and a write; the epoch takes one, the queue counts take two and so
    // does the limit on submissions.
    static constexpr std::size_t maxJobsPerCommit = (maxCommitEntries - 5) / 2;

    // A job whose progress is in the pending commit, and the actions that wait for it.
    struct InFlight {
        JobId job;
        PendingWork work;
    };

    void addJobs(CommitRecords& commit, absl::Time now);
    void addCounts(CommitRecords& commit, absl::Time now);
    // Adds the limit on submissions if it has to change.
    void addAdmission(CommitRecords& commit);
    void addRemovals(CommitRecords& commit, absl::Time now);
    WriteUpdate handleSuccess(Revision revision);
    WriteUpdate handleConflict(const StoreReply& reply, absl::Time now);
    // Handles a commit that is refused for one of its records: finds the job by smaller commits, so that it does not
    // hold up others.
    WriteUpdate handleInvalid(absl::Time now);
    // Queues the work of the failed commit again.
    void requeue();

    JobRegistry& m_jobs;
    // How many jobs the next commit takes.
    std::size_t m_jobsPerCommit = maxJobsPerCommit;
    CallId m_call = 0;
    ExpectedRevision m_ownership;
    // When the pending commit was sent, and when the next one may be sent.
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_retryAt = absl::InfinitePast();
    std::vector<InFlight> m_inFlight;
    // The jobs that the pending commit removes.
    std::vector<JobId> m_removals;
    bool m_isWritingCounts = false;
    bool m_writesAll = false;
    // The counts in the pending commit, and the counts in the store; none if a commit without a reply may have changed
    // those.
    QueueCounts m_counts;
    absl::optional<QueueCounts> m_writtenCounts;
    Revision m_countsRevision = 0;
    // The limit on submissions that holds now, the one in the store, and whether that is known: a commit without a
    // reply may have changed it.
    absl::optional<AdmissionLimit> m_admission;
    absl::optional<AdmissionLimit> m_writtenAdmission;
    bool m_isAdmissionKnown = true;
    Revision m_admissionRevision = 0;
    bool m_isWritingAdmission = false;
    absl::Time m_countsCheckedAt = absl::InfinitePast();
    absl::Time m_removalsDueAt = absl::InfinitePast();
};

} // namespace mangohall::batch
