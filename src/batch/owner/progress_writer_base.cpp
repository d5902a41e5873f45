#include "batch/owner/progress_writer_base.h"

#include <algorithm>
#include <utility>

#include "batch/admission/admission_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// A removed job takes three entries of a commit.
constexpr std::size_t entriesPerRemoval = 3;
constexpr absl::Duration commitTimeout = absl::Milliseconds(900);
constexpr absl::Duration retryPeriod = absl::Milliseconds(80);
// A commit that takes no longer is followed by the next one at once.
constexpr absl::Duration usualCommitTime = absl::Milliseconds(60);
constexpr absl::Duration longestPause = absl::Milliseconds(400);
// How long the progress of a job that the store has refused waits before it is written again.
constexpr absl::Duration refusedJobPeriod = absl::Seconds(5);
constexpr absl::Duration countsPeriod = absl::Milliseconds(500);
// How often ended jobs are looked for, and how often while more have ended than a commit removes.
constexpr absl::Duration removalPeriod = absl::Seconds(5);
constexpr absl::Duration busyRemovalPeriod = absl::Milliseconds(250);
// The state of an ended job can be queried for at least this long.
constexpr absl::Duration endedJobRetention = absl::Minutes(3);

// The pause after a commit that took so long: if the link is slow, commits leave half of it to the calls to workers.
absl::Duration pauseAfter(absl::Duration commitTime)
{
    return std::clamp(commitTime - usualCommitTime, absl::ZeroDuration(), longestPause);
}

} // namespace

void ProgressWriter::reset()
{
    m_call = 0;
    m_inFlight.clear();
    m_removals.clear();
    m_isWritingCounts = false;
    m_writesAll = false;
    m_jobsPerCommit = maxJobsPerCommit;
    m_countsRevision = 0;
    m_writtenCounts = QueueCounts();
    m_admission.reset();
    m_isWritingAdmission = false;
    setWrittenAdmission(absl::nullopt, 0);
    m_retryAt = absl::InfinitePast();
}

void ProgressWriter::setWrittenAdmission(const absl::optional<AdmissionLimit>& limit, Revision revision)
{
    m_writtenAdmission = limit;
    m_admissionRevision = revision;
    m_isAdmissionKnown = true;
}

void ProgressWriter::setWrittenCounts(const QueueCounts& counts, Revision revision)
{
    m_writtenCounts = counts;
    m_countsRevision = revision;
}

void ProgressWriter::advance(const ExpectedRevision& ownership, Outbox& outbox, absl::Time now)
{
    if (m_call != 0 || now < m_retryAt)
        return;
    m_ownership = ownership;
    m_jobs.queuePostponed(now);
    CommitRecords commit;
    commit.expected.push_back(ownership);
    addJobs(commit, now);
    addCounts(commit, now);
    addAdmission(commit);
    addRemovals(commit, now);
    if (commit.writes.empty() && commit.removals.empty())
        return;
    m_sentAt = now;
    m_call = outbox.toStore(std::move(commit), commitTimeout);
}

void ProgressWriter::addJobs(CommitRecords& commit, absl::Time now)
{
    // What need not be written soon waits for a commit that is made anyway, or for the next check of the counts.
    const bool takesLater = m_writesAll || m_jobs.hasDirty() || now >= m_countsCheckedAt + countsPeriod;
    for (const JobId& job : m_jobs.takeDirty(m_jobsPerCommit, takesLater)) {
        JobEntry& entry = *m_jobs.find(job);
        const RecordKey key { Collection::Progress, job.str() };
        commit.expected.push_back({ key, entry.revision });
        commit.writes.push_back({ key, entry.progress.record(), 0 });
        m_inFlight.push_back({ job, std::exchange(entry.pending, {}) });
    }
}

void ProgressWriter::addCounts(CommitRecords& commit, absl::Time now)
{
    if (now < m_countsCheckedAt + countsPeriod)
        return;
    m_countsCheckedAt = now;
    m_counts = m_jobs.countWaiting();
    if (m_counts == m_writtenCounts)
        return;
    const RecordKey key { Collection::QueueCounts, "" };
    commit.expected.push_back({ key, m_countsRevision });
    commit.writes.push_back({ key, m_counts, 0 });
    m_isWritingCounts = true;
}

void ProgressWriter::addAdmission(CommitRecords& commit)
{
    m_admission = admissionLimitFor(m_jobs.heldBytes(), m_jobs.budgetBytes(), m_admission);
    if (m_isAdmissionKnown && m_admission == m_writtenAdmission)
        return;
    const RecordKey key { Collection::Admission, "" };
    commit.expected.push_back({ key, m_admissionRevision });
    if (m_admission)
        commit.writes.push_back({ key, *m_admission, 0 });
    else
        commit.removals.push_back(key);
    m_isWritingAdmission = true;
}

void ProgressWriter::addRemovals(CommitRecords& commit, absl::Time now)
{
    const std::size_t used = commit.expected.size() + commit.writes.size() + commit.removals.size();
    const std::size_t room = (maxCommitEntries - used) / entriesPerRemoval;
    if (now < m_removalsDueAt || room == 0)
        return;
    m_removals = m_jobs.endedBefore(now - endedJobRetention, room);
    m_removalsDueAt = now + (m_removals.size() == room ? busyRemovalPeriod : removalPeriod);
    for (const JobId& job : m_removals) {
        commit.removals.push_back({ Collection::Progress, job.str() });
        commit.removals.push_back({ Collection::Jobs, job.str() });
        commit.removals.push_back({ Collection::Cancellations, job.str() });
    }
}

absl::Time ProgressWriter::nextDue() const
{
    if (m_call != 0)
        return absl::InfiniteFuture();
    const bool isAdmissionDue = m_admission != admissionLimitFor(m_jobs.heldBytes(), m_jobs.budgetBytes(), m_admission);
    if (isAdmissionDue || m_jobs.hasDirty() || (m_writesAll && m_jobs.hasDirtyLater()))
        return m_retryAt;
    const absl::Time periodic = std::min(m_countsCheckedAt + countsPeriod, m_removalsDueAt);
    return std::max(m_retryAt, std::min(periodic, m_jobs.nextPostponed()));
}

WriteUpdate ProgressWriter::handleReply(const StoreReply& reply, absl::Time now)
{
    m_call = 0;
    const ErrorKind kind = errorKindOf(reply.status);
    if (kind == ErrorKind::None) {
        m_retryAt = m_writesAll ? now : now + pauseAfter(now - m_sentAt);
        return handleSuccess(reply.revision);
    }
    m_retryAt = now + retryPeriod;
    if (kind == ErrorKind::RevisionConflict)
        return handleConflict(reply, now);
    if (kind == ErrorKind::InvalidValue)
        return handleInvalid(now);
    requeue();
    WriteUpdate update;
    update.isFailed = true;
    return update;
}

WriteUpdate ProgressWriter::handleSuccess(Revision revision)
{
    WriteUpdate update;
    for (InFlight& written : m_inFlight) {
        if (JobEntry* entry = m_jobs.find(written.job)) {
            entry->revision = revision;
            entry->isWriting = false;
            entry->isWrittenAlone = false;
        }
        const PendingWork& work = written.work;
        update.placed.insert(update.placed.end(), work.placed.begin(), work.placed.end());
        update.ends.insert(update.ends.end(), work.ends.begin(), work.ends.end());
        update.withdrawnLapses.insert(
            update.withdrawnLapses.end(), work.withdrawnLapses.begin(), work.withdrawnLapses.end());
        update.withdrawn.insert(update.withdrawn.end(), work.withdrawn.begin(), work.withdrawn.end());
    }
    m_jobsPerCommit = std::min(maxJobsPerCommit, m_jobsPerCommit + std::max<std::size_t>(1, m_inFlight.size()));
    m_inFlight.clear();
    for (const JobId& job : std::exchange(m_removals, {}))
        m_jobs.remove(job, revision);
    if (std::exchange(m_isWritingCounts, false)) {
        m_writtenCounts = m_counts;
        m_countsRevision = revision;
    }
    if (std::exchange(m_isWritingAdmission, false))
        setWrittenAdmission(m_admission, m_admission ? revision : 0);
    return update;
}

// An earlier commit of this owner that got no reply may have been executed. The revisions in the store are adopted and
// the work is queued again.
WriteUpdate ProgressWriter::handleConflict(const StoreReply& reply, absl::Time now)
{
    WriteUpdate update;
    m_retryAt = now;
    for (const Record& record : reply.records) {
        if (record.key.collection == Collection::Epoch)
            update.isSuperseded = record.revision != m_ownership.revision;
        else if (record.key.collection == Collection::QueueCounts)
            m_countsRevision = record.revision;
        else if (JobEntry* entry = m_jobs.find(JobId(record.key.name)))
            entry->revision = record.revision;
    }
    requeue();
    for (const Record& record : reply.records) {
        const auto* limit = std::get_if<AdmissionLimit>(&record.value);
        if (record.key.collection == Collection::Admission)
            setWrittenAdmission(limit == nullptr ? absl::nullopt : absl::make_optional(*limit), record.revision);
    }
    return update;
}

WriteUpdate ProgressWriter::handleInvalid(absl::Time now)
{
    WriteUpdate update;
    update.isFailed = true;
    const bool isSingle = m_inFlight.size() == 1;
    if (isSingle)
        update.refusedJob = m_inFlight.front().job;
    m_jobsPerCommit = std::max<std::size_t>(1, m_inFlight.size() / 2);
    requeue();
    if (JobEntry* refused = update.refusedJob ? m_jobs.find(*update.refusedJob) : nullptr)
        m_jobs.postpone(*refused, now + refusedJobPeriod);
    return update;
}

void ProgressWriter::requeue()
{
    for (InFlight& unwritten : std::exchange(m_inFlight, {})) {
        JobEntry* entry = m_jobs.find(unwritten.job);
        if (entry == nullptr)
            continue;
        entry->isWriting = false;
        std::vector<PlacedRun>& placed = entry->pending.placed;
        placed.insert(placed.begin(), unwritten.work.placed.begin(), unwritten.work.placed.end());
        std::vector<ListedEnd>& ends = entry->pending.ends;
        ends.insert(ends.begin(), unwritten.work.ends.begin(), unwritten.work.ends.end());
        std::vector<PlacedRun>& lapses = entry->pending.withdrawnLapses;
        lapses.insert(lapses.begin(), unwritten.work.withdrawnLapses.begin(), unwritten.work.withdrawnLapses.end());
        std::vector<PlacedRun>& withdrawn = entry->pending.withdrawn;
        withdrawn.insert(withdrawn.begin(), unwritten.work.withdrawn.begin(), unwritten.work.withdrawn.end());
        m_jobs.markDirty(*entry);
    }
    m_removals.clear();
    // The commit may have been executed, or another one that was sent before.
    if (std::exchange(m_isWritingCounts, false))
        m_writtenCounts.reset();
    if (std::exchange(m_isWritingAdmission, false))
        m_isAdmissionKnown = false;
}

} // namespace mangohall::batch
