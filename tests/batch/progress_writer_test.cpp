#include "batch/owner/progress_writer_base.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
const ExpectedRevision ownership { { Collection::Epoch, "" }, 1 };

// A writer of the progress of some jobs to a store that refuses each commit with the progress of one of them.
class ProgressWriterTest : public testing::Test {
protected:
    JobEntry& addJob(const std::string& id)
    {
        Job job;
        job.id = JobId(id);
        StepSpec step;
        step.taskCount = 1;
        job.spec.steps = { step };
        m_jobs.add(job);
        m_jobs.openDueOccurrences(start);
        JobEntry& entry = *m_jobs.find(job.id);
        m_jobs.markDirty(entry);
        return entry;
    }

    // The next commit; none if there is nothing to write.
    absl::optional<CommitRecords> nextRequest()
    {
        m_writer.advance(ownership, m_outbox, m_now);
        for (const Effect& effect : m_outbox.take()) {
            if (const auto* store = std::get_if<StoreEffect>(&effect))
                return std::get<CommitRecords>(store->request);
        }
        return absl::nullopt;
    }

    static std::vector<std::string> jobsIn(const CommitRecords& commit)
    {
        std::vector<std::string> jobs;
        for (const RecordWrite& write : commit.writes) {
            if (write.key.collection == Collection::Progress)
                jobs.push_back(write.key.name);
        }
        return jobs;
    }

    // The jobs whose progress is in the next commit; none if there is no commit.
    std::vector<std::string> nextCommit()
    {
        const absl::optional<CommitRecords> commit = nextRequest();
        return commit ? jobsIn(*commit) : std::vector<std::string>();
    }

    // The number of waiting jobs in the next commit; -1 if it does not write the counts.
    std::int64_t writtenWaitingCount()
    {
        const absl::optional<CommitRecords> commit = nextRequest();
        std::int64_t waiting = -1;
        for (const RecordWrite& write : commit ? commit->writes : std::vector<RecordWrite>()) {
            const auto* counts = std::get_if<QueueCounts>(&write.value);
            if (counts != nullptr)
                waiting = counts->waiting.empty() ? 0 : counts->waiting.begin()->second;
        }
        return waiting;
    }

    WriteUpdate reply(ErrorKind kind)
    {
        StoreReply answer;
        if (kind != ErrorKind::None)
            answer.status = makeError(kind, "a fault of the test");
        answer.revision = 7;
        return m_writer.handleReply(answer, m_now);
    }

    // Lets the store answer commits for a time and refuse those with this job. Returns the refused jobs.
    std::vector<std::string> serveFor(absl::Duration time, const std::string& refusedJob)
    {
        std::vector<std::string> refused;
        for (const absl::Time end = m_now + time; m_now < end; m_now += absl::Milliseconds(10)) {
            const absl::optional<CommitRecords> commit = nextRequest();
            if (!commit)
                continue;
            EXPECT_LE(commit->expected.size() + commit->writes.size() + commit->removals.size(), maxCommitEntries);
            const std::vector<std::string> jobs = jobsIn(*commit);
            const bool isRefused = std::find(jobs.begin(), jobs.end(), refusedJob) != jobs.end();
            const WriteUpdate update = reply(isRefused ? ErrorKind::InvalidValue : ErrorKind::None);
            if (update.refusedJob)
                refused.push_back(update.refusedJob->str());
        }
        return refused;
    }

    absl::Time m_now = start;
    JobRegistry m_jobs;
    ProgressWriter m_writer { m_jobs };
    Outbox m_outbox;
};

// Guards against a job whose progress the store refuses and that holds up the progress of all others.
TEST_F(ProgressWriterTest, WritesOtherJobsBesideOneThatTheStoreRefuses)
{
    for (int job = 0; job < 12; ++job)
        addJob(absl::StrCat("job-", job));
    EXPECT_EQ(serveFor(absl::Seconds(3), "job-5"), std::vector<std::string> { "job-5" });
    for (int job = 0; job < 12; ++job)
        EXPECT_EQ(m_jobs.find(JobId(absl::StrCat("job-", job)))->revision, job == 5 ? 0 : 7) << job;
    EXPECT_FALSE(m_jobs.hasDirty());
}

TEST_F(ProgressWriterTest, WritesARefusedJobAgainLaterAndWithoutOthers)
{
    addJob("refused");
    const JobId refused("refused");
    EXPECT_EQ(nextCommit(), std::vector<std::string> { "refused" });
    EXPECT_TRUE(reply(ErrorKind::InvalidValue).refusedJob);
    m_now += absl::Seconds(1);
    m_jobs.markDirty(*m_jobs.find(refused));
    EXPECT_TRUE(nextCommit().empty());
    reply(ErrorKind::None);
    EXPECT_LE(m_writer.nextDue(), start + absl::Seconds(5));
    m_now = start + absl::Seconds(5);
    addJob("other");
    EXPECT_EQ(nextCommit(), std::vector<std::string> { "other" });
    reply(ErrorKind::None);
    EXPECT_EQ(nextCommit(), std::vector<std::string> { "refused" });
    reply(ErrorKind::None);
    EXPECT_EQ(m_jobs.find(refused)->revision, 7);
    EXPECT_FALSE(m_jobs.find(refused)->isWrittenAlone);
}

// Guards against a wrong count of waiting jobs: the reply to a write of the counts is lost, and they are then as they
// were before it.
TEST_F(ProgressWriterTest, WritesTheCountsAgainAfterACommitOfUnknownOutcome)
{
    constexpr absl::Duration longestPeriod = absl::Seconds(1);
    JobEntry& entry = addJob("job");
    nextCommit();
    reply(ErrorKind::None);
    m_now += longestPeriod;
    entry.progress.cancel(m_now);
    EXPECT_EQ(writtenWaitingCount(), 0);
    reply(ErrorKind::OutcomeUnknown);
    m_now += longestPeriod;
    addJob("other");
    EXPECT_EQ(writtenWaitingCount(), 1);
}

// Guards against memory and a store that grow without bound: ended jobs are removed faster than they are submitted in a
// burst, ten a second, also beside other writes.
TEST_F(ProgressWriterTest, RemovesEndedJobsAsFastAsABurstSubmitsThem)
{
    constexpr int ended = 300;
    for (int job = 0; job < ended; ++job)
        addJob(absl::StrCat("job-", job)).progress.cancel(m_now);
    serveFor(absl::Seconds(3), "");
    EXPECT_EQ(m_jobs.entries().size(), ended);
    m_now += absl::Minutes(4);
    addJob("other");
    for (int second = 0; second < ended / 10; ++second) {
        m_jobs.markDirty(*m_jobs.find(JobId("other")));
        serveFor(absl::Seconds(1), "");
    }
    EXPECT_EQ(m_jobs.entries().size(), 1U);
}

// A node that shuts down leaves nothing unwritten.
TEST_F(ProgressWriterTest, WritesAlsoWhatNeedNotBeWrittenSoonWhenTold)
{
    JobEntry& entry = addJob("job");
    nextCommit();
    reply(ErrorKind::None);
    m_now += absl::Milliseconds(100);
    m_jobs.markDirtyLater(entry);
    EXPECT_TRUE(nextCommit().empty());
    EXPECT_FALSE(m_writer.hasWrittenAll());
    m_writer.setWritesAll();
    EXPECT_LE(m_writer.nextDue(), m_now);
    EXPECT_EQ(nextCommit(), std::vector<std::string> { "job" });
    EXPECT_FALSE(m_writer.hasWrittenAll());
    reply(ErrorKind::None);
    EXPECT_TRUE(m_writer.hasWrittenAll());
}

} // namespace
} // namespace mangohall::batch
