#include "batch/owner/job_wait_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

TEST(JobWait, IsOverdueOnceTheJobHasBeenIdleForLong)
{
    JobWait wait;
    EXPECT_FALSE(wait.isOverdue(now));
    wait.recordIdle(now);
    wait.recordIdle(now + absl::Seconds(1));
    EXPECT_FALSE(wait.isOverdue(now + absl::Milliseconds(1999)));
    EXPECT_TRUE(wait.isOverdue(now + absl::Seconds(2)));
}

TEST(JobWait, BeginsAnewOnceATaskHasRun)
{
    JobWait wait;
    wait.recordIdle(now);
    wait.recordRunning();
    EXPECT_FALSE(wait.isOverdue(now + absl::Seconds(10)));
    wait.recordIdle(now + absl::Seconds(10));
    EXPECT_FALSE(wait.isOverdue(now + absl::Seconds(11)));
    EXPECT_TRUE(wait.isOverdue(now + absl::Seconds(12)));
}

// Guards against a task more in each allocation round while the start of the first one is under way.
TEST(JobWait, IsNotOverdueWhileATaskIsStarting)
{
    JobWait wait;
    wait.recordIdle(now);
    wait.recordPlacement(now + absl::Seconds(2));
    EXPECT_FALSE(wait.isOverdue(now + absl::Milliseconds(2900)));
    EXPECT_TRUE(wait.isOverdue(now + absl::Seconds(3)));
}

// Guards against another second of waiting for a start that has failed.
TEST(JobWait, IsOverdueAgainOnceTheStartHasFailed)
{
    JobWait wait;
    wait.recordIdle(now);
    wait.recordPlacement(now + absl::Milliseconds(1900));
    EXPECT_FALSE(wait.isOverdue(now + absl::Milliseconds(2100)));
    wait.recordFailedStart();
    EXPECT_TRUE(wait.isOverdue(now + absl::Milliseconds(2100)));
}

// Guards against an infinite age in the log and the metrics: a guaranteed job may be held while some of it runs.
TEST(JobWait, HasNoIdleTimeWhileATaskRuns)
{
    JobWait wait;
    EXPECT_EQ(wait.idleTime(now), absl::ZeroDuration());
    wait.recordIdle(now);
    EXPECT_EQ(wait.idleTime(now + absl::Seconds(1)), absl::Seconds(1));
    wait.recordRunning();
    EXPECT_EQ(wait.idleTime(now + absl::Seconds(2)), absl::ZeroDuration());
}

TEST(JobWait, ReportsEachReasonOnceUntilATaskHasRun)
{
    JobWait wait;
    EXPECT_TRUE(wait.recordReason(HoldReason::Reserved));
    EXPECT_FALSE(wait.recordReason(HoldReason::Reserved));
    EXPECT_TRUE(wait.recordReason(HoldReason::NoCapacity));
    wait.recordRunning();
    EXPECT_TRUE(wait.recordReason(HoldReason::NoCapacity));
}

TEST(JobWait, SeeksTheReasonOfALongWaitAtAnInterval)
{
    JobWait wait;
    wait.recordIdle(now);
    EXPECT_FALSE(wait.takeReasonDue(false, now + absl::Milliseconds(900)));
    EXPECT_TRUE(wait.takeReasonDue(true, now + absl::Milliseconds(900)));
    EXPECT_FALSE(wait.takeReasonDue(false, now + absl::Milliseconds(1300)));
    EXPECT_TRUE(wait.takeReasonDue(false, now + absl::Milliseconds(1400)));
}

} // namespace
} // namespace mangohall::batch
