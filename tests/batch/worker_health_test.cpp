#include "batch/worker/worker_health_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

TEST(WorkerHealth, BlamesTheJobWhenOnlyOneJobFails)
{
    WorkerHealth health;
    for (int i = 0; i < 5; ++i)
        health.recordFailure(JobId("sick"), now);
    EXPECT_FALSE(health.isQuarantined(now));
    EXPECT_GT(health.failureSuspicion(), 0);
}

TEST(WorkerHealth, QuarantinesTheWorkerWhenTwoJobsFail)
{
    WorkerHealth health;
    health.recordFailure(JobId("a"), now);
    health.recordFailure(JobId("b"), now);
    EXPECT_TRUE(health.isQuarantined(now));
    // The quarantine expires, and then one failure is enough for a longer one.
    EXPECT_FALSE(health.isQuarantined(now + absl::Seconds(3)));
    health.recordFailure(JobId("c"), now + absl::Seconds(3));
    EXPECT_TRUE(health.isQuarantined(now + absl::Seconds(6)));
}

TEST(WorkerHealth, IsClearedByATaskThatGetsDone)
{
    WorkerHealth health;
    health.recordFailure(JobId("a"), now);
    health.recordCompletion();
    health.recordFailure(JobId("b"), now);
    EXPECT_FALSE(health.isQuarantined(now));
}

TEST(WorkerHealth, QuarantinesTheWorkerForOneStalledTaskButNotForOneGangMember)
{
    WorkerHealth single;
    single.recordStall(JobId("a"), false, now);
    EXPECT_TRUE(single.isQuarantined(now));
    WorkerHealth member;
    member.recordStall(JobId("a"), true, now);
    EXPECT_FALSE(member.isQuarantined(now));
    member.recordStall(JobId("b"), true, now);
    EXPECT_TRUE(member.isQuarantined(now));
}

} // namespace
} // namespace mangohall::batch
