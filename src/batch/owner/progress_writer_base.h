#pragma once

#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/job_book_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// What a finished write allows.
struct WriteNews {
    std::vector<PlacedRun> placed;
    std::vector<ListedEnd> ends;
    // Another owner has raised the epoch.
    bool isDeposed = false;
    bool isFailed = false;
};

// Writes the progress of jobs, many in one commit and one commit at a time. Each commit expects the owner's epoch and
// the present revision of everything that it changes, so that a commit that is carried out late changes nothing. Not
// safe to call from several threads.
class ProgressWriter {
public:
    explicit ProgressWriter(JobBook& book)
        : m_book(book)
    {
    }

    // Forgets whatever an earlier ownership had begun.
    void reset();
    // Takes the counts that an earlier owner has written.
    void noteCounts(const QueueCounts& counts, Revision revision);

    void advance(const ExpectedRevision& ownership, Outbox& outbox, absl::Time now);
    absl::Time nextDue() const;

    bool isMine(CallId call) const { return call != 0 && call == m_call; }
    WriteNews takeReply(const StoreReply& reply, absl::Time now);

private:
    struct InFlight {
        JobId job;
        PendingWork work;
    };

    void addJobs(CommitRecords& commit);
    void addCounts(CommitRecords& commit, absl::Time now);
    void addRemovals(CommitRecords& commit, absl::Time now);
    WriteNews takeSuccess(Revision revision);
    WriteNews takeConflict(const StoreReply& reply, absl::Time now);
    void putBack();

    JobBook& m_book;
    CallId m_call = 0;
    ExpectedRevision m_ownership;
    absl::Time m_retryAt = absl::InfinitePast();
    std::vector<InFlight> m_inFlight;
    std::vector<JobId> m_removing;
    bool m_isWritingCounts = false;
    QueueCounts m_counts;
    QueueCounts m_writtenCounts;
    Revision m_countsRevision = 0;
    absl::Time m_countsCheckedAt = absl::InfinitePast();
    absl::Time m_removalCheckedAt = absl::InfinitePast();
};

} // namespace mangohall::batch
