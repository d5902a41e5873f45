#include "batch/owner/run_review_func.h"

#include "batch/worker_entry_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
const JobId jobId("0000000000000001");
const RunKey run { { jobId, { 0, 0, 0 } }, 1 };
constexpr std::int64_t processStartMs = 1000;

class RunReviewTest : public testing::Test {
protected:
    RunReviewTest()
        : m_session(makeWorkerEntry("w"), 1, SessionSettings())
    {
    }

    // Starts a task of ten seconds on the worker, which reports the percentage two seconds after the start.
    void runTask(std::int32_t percent, bool isCheckpointing = false)
    {
        Job job;
        job.id = jobId;
        job.terms.priority = 2;
        StepSpec step;
        step.taskCount = 1;
        step.demand = { 1, 1, 1 };
        step.estimate = absl::Seconds(10);
        step.isCheckpointing = isCheckpointing;
        job.spec.steps = { step };
        m_jobs.add(job);
        m_jobs.openDueOccurrences(start);
        m_session.reserve(run, step.demand, start);
        m_session.release(run, start);
        WorkerReply reply;
        reply.processStartMs = processStartMs;
        reply.clock = 1;
        reply.running = { { run, "", percent } };
        m_session.handleReply({ SessionCall::Kind::Poll, RunKey(), start, processStartMs }, reply, m_now);
    }

    void drain(absl::Duration remaining)
    {
        WorkerEntry entry = makeWorkerEntry("w");
        entry.isDraining = true;
        entry.remaining = remaining;
        m_session.update(entry, m_now, m_now);
    }

    std::vector<RelocatedRun> toRelocate() { return reviewRuns(m_session, m_jobs, m_now).toRelocate; }

    JobRegistry m_jobs;
    WorkerSession m_session;
    absl::Time m_now = start + absl::Seconds(2);
};

TEST_F(RunReviewTest, KeepsRunsOfAWorkerThatStays)
{
    runTask(10);
    EXPECT_TRUE(toRelocate().empty());
}

TEST_F(RunReviewTest, MovesARunWithoutCheckpointsAtOnce)
{
    runTask(10);
    drain(absl::Seconds(5));
    ASSERT_EQ(toRelocate().size(), 1U);
    EXPECT_EQ(toRelocate().front().reason, StopReason::WorkerLeaves);
}

TEST_F(RunReviewTest, KeepsARunThatIsDoneInTime)
{
    // The run has done half of its work in two seconds.
    runTask(50);
    drain(absl::Seconds(3));
    EXPECT_TRUE(toRelocate().empty());
}

TEST_F(RunReviewTest, KeepsARunWithCheckpointsUntilJustBeforeItsWorkerLeaves)
{
    runTask(10, true);
    drain(absl::Seconds(4));
    EXPECT_TRUE(toRelocate().empty());
    m_now += absl::Seconds(3);
    EXPECT_EQ(toRelocate().size(), 1U);
}

TEST_F(RunReviewTest, GrantsNoMoreTimeForALaterRow)
{
    runTask(10, true);
    drain(absl::Seconds(2));
    drain(absl::Seconds(9));
    m_now += absl::Milliseconds(500);
    EXPECT_EQ(toRelocate().size(), 1U);
}

TEST_F(RunReviewTest, MovesAStalledRunThatLosesLittleWork)
{
    runTask(5);
    m_now += absl::Seconds(2);
    ASSERT_EQ(toRelocate().size(), 1U);
    EXPECT_EQ(toRelocate().front().reason, StopReason::Stalled);
}

TEST_F(RunReviewTest, KeepsAStalledRunThatWouldLoseMuchWork)
{
    runTask(60);
    m_now += absl::Seconds(2);
    const RunReview review = reviewRuns(m_session, m_jobs, m_now);
    EXPECT_EQ(review.stalled.size(), 1U);
    EXPECT_TRUE(review.toRelocate.empty());
}

} // namespace
} // namespace mangohall::batch
