#include "batch/owner/run_review_func.h"

#include <algorithm>

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

    // Starts a task on the worker.
    void startTask(absl::Duration estimate, bool isCheckpointing = false)
    {
        Job job;
        job.id = jobId;
        job.terms.priority = 2;
        StepSpec step;
        step.taskCount = 1;
        step.demand = { 1, 1, 1 };
        step.estimate = estimate;
        step.isCheckpointing = isCheckpointing;
        job.spec.steps = { step };
        m_jobs.add(job);
        m_jobs.openDueOccurrences(start);
        m_session.reserve(run, step.demand, start);
        m_session.release(run, start);
    }

    void report(std::int32_t percent)
    {
        WorkerReply reply;
        reply.processStartMs = processStartMs;
        reply.clock = 1;
        reply.running = { { run, "", percent } };
        m_session.handleReply({ SessionCall::Kind::Poll, RunKey(), start, processStartMs }, reply, m_now);
    }

    // Starts a task of ten seconds on the worker, which reports the percentage two seconds after the start.
    void runTask(std::int32_t percent, bool isCheckpointing = false)
    {
        startTask(absl::Seconds(10), isCheckpointing);
        report(percent);
    }

    // Lets a task that takes this long run until it has this progress and then stand still; it reports its progress at
    // this interval. Returns how long it has stood still when it counts as stalled; infinite if it does not in a day.
    absl::Duration timeUntilStalled(absl::Duration runTime, std::int32_t lastPercent, absl::Duration interval)
    {
        const absl::Time stillFrom = start + runTime * lastPercent / 100;
        for (m_now = start; m_now < start + absl::Hours(24); m_now += interval) {
            const auto percent = static_cast<std::int32_t>(absl::FDivDuration(m_now - start, runTime) * 100);
            report(std::min(percent, lastPercent));
            if (!reviewRuns(m_session, m_jobs, m_workers, m_now).stalled.empty())
                return m_now - stillFrom;
        }
        return absl::InfiniteDuration();
    }

    void drain(absl::Duration remaining)
    {
        WorkerEntry entry = makeWorkerEntry("w");
        entry.isDraining = true;
        entry.remaining = remaining;
        m_session.update(entry, m_now, m_now);
    }

    std::vector<RelocatedRun> toRelocate() { return reviewRuns(m_session, m_jobs, m_workers, m_now).toRelocate; }

    JobRegistry m_jobs;
    WorkerSession m_session;
    WorkerRegistry m_workers { SessionSettings() };
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
    const RunReview review = reviewRuns(m_session, m_jobs, m_workers, m_now);
    EXPECT_EQ(review.stalled.size(), 1U);
    EXPECT_TRUE(review.toRelocate.empty());
}

// The time that tasks take, in seconds.
class StalledRun : public RunReviewTest, public testing::WithParamInterface<int> {
protected:
    absl::Duration runTime() const { return absl::Seconds(GetParam()); }
    absl::Duration interval() const { return std::max(absl::Milliseconds(700), runTime() / 2000); }
};

// Guards against LOST: a sound task whose percent takes longer than a fixed time was stopped and started for ever.
TEST_P(StalledRun, IsNoneThatGoesOn)
{
    startTask(runTime());
    EXPECT_EQ(timeUntilStalled(runTime(), 100, interval()), absl::InfiniteDuration());
}

TEST_P(StalledRun, IsNoneThatGoesOnFarBeyondItsEstimate)
{
    startTask(runTime() / 50);
    EXPECT_EQ(timeUntilStalled(runTime(), 100, interval()), absl::InfiniteDuration());
}

TEST_P(StalledRun, IsOneThatStandsStill)
{
    startTask(runTime());
    const absl::Duration stood = timeUntilStalled(runTime(), 40, interval());
    EXPECT_GE(stood, absl::Milliseconds(1200));
    EXPECT_LE(stood, std::max(absl::Seconds(2), runTime() / 20));
}

TEST_P(StalledRun, IsOneThatNeverBegins)
{
    startTask(runTime());
    EXPECT_LE(timeUntilStalled(runTime(), 0, interval()), std::max(absl::Seconds(2), runTime() * 0.7));
}

INSTANTIATE_TEST_SUITE_P(RunTimes, StalledRun, testing::Values(10, 4 * 60, 8 * 3600));

// Its beginning is not known: only what has been seen of its progress tells its pace.
TEST_F(RunReviewTest, KeepsALongRunThatAnEarlierOwnerHadStarted)
{
    constexpr absl::Duration timeOfPercent = absl::Milliseconds(2400);
    startTask(timeOfPercent * 100);
    m_session.stop(run, start);
    m_session.adopt(run, { 1, 1, 1 }, { processStartMs, 0 }, true, start);
    m_now = start;
    for (int percent = 60; percent < 100; ++percent) {
        report(percent);
        m_now += timeOfPercent - absl::Milliseconds(1);
        EXPECT_TRUE(reviewRuns(m_session, m_jobs, m_workers, m_now).stalled.empty()) << percent;
    }
}

// Guards against a run that is taken for stalled, or not, by a percentage that it has reported once only.
TEST_F(RunReviewTest, FindsAStallByTheProgressSeen)
{
    startTask(absl::Seconds(10));
    for (const int percent : { 10, 20, 20, 20 }) {
        m_now += absl::Milliseconds(700);
        report(percent);
        const std::size_t expected = m_now >= start + absl::Milliseconds(4600) ? 1 : 0;
        EXPECT_EQ(reviewRuns(m_session, m_jobs, m_workers, m_now).stalled.size(), expected);
    }
}

} // namespace
} // namespace mangohall::batch
