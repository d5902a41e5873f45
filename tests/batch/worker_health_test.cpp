#include "batch/fleet/worker_health_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

TEST(WorkerHealth, TakesOneJobThatFailsForTheJobsFault)
{
    WorkerHealth health;
    for (int i = 0; i < 5; ++i)
        health.noteFailed(JobId("sick"), now);
    EXPECT_FALSE(health.isSick(now));
    EXPECT_GT(health.suspicion(), 0);
}

TEST(WorkerHealth, TakesTwoJobsThatFailForTheWorkersFault)
{
    WorkerHealth health;
    health.noteFailed(JobId("a"), now);
    health.noteFailed(JobId("b"), now);
    EXPECT_TRUE(health.isSick(now));
    // It is tried again after a while, and one failure is enough then, for longer.
    EXPECT_FALSE(health.isSick(now + absl::Seconds(3)));
    health.noteFailed(JobId("c"), now + absl::Seconds(3));
    EXPECT_TRUE(health.isSick(now + absl::Seconds(6)));
}

TEST(WorkerHealth, IsClearedByATaskThatGetsDone)
{
    WorkerHealth health;
    health.noteFailed(JobId("a"), now);
    health.noteDone();
    health.noteFailed(JobId("b"), now);
    EXPECT_FALSE(health.isSick(now));
}

TEST(WorkerHealth, BlamesAWorkerForASingleTaskThatStandsStillButNotForAGangsMember)
{
    WorkerHealth single;
    single.noteStandstill(JobId("a"), false, now);
    EXPECT_TRUE(single.isSick(now));
    WorkerHealth member;
    member.noteStandstill(JobId("a"), true, now);
    EXPECT_FALSE(member.isSick(now));
    member.noteStandstill(JobId("b"), true, now);
    EXPECT_TRUE(member.isSick(now));
}

} // namespace
} // namespace mangohall::batch
