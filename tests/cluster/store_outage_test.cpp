// One test for each row of docs/STORE-OUTAGE.md.
#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration answerTimeout = absl::Minutes(4);

TEST(StoreOutage, KeepsTasksRunningAndReportsTheirEndsLater)
{
    for (const int seconds : { 10, 45, 120 }) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        std::vector<CallerId> callers;
        callers.reserve(20);
        for (int job = 0; job < 20; ++job)
            callers.push_back(
                cluster.submit("e0", "small", absl::StrCat("k-", job), nonIdempotentJob(absl::Seconds(8))));
        cluster.runFor(absl::Seconds(1));
        cluster.store().setUnavailable(true);
        cluster.runFor(absl::Seconds(seconds));
        for (const CallerId caller : callers)
            EXPECT_FALSE(cluster.log(caller).isFinished) << "an outcome was reported before it was durable";
        cluster.store().setUnavailable(false);
        ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30))) << seconds;
        for (int job = 0; job < 20; ++job) {
            EXPECT_EQ(cluster.kindOf(callers[job]), ErrorKind::None) << seconds << " s, job " << job;
            EXPECT_EQ(cluster.executionsOf("small", absl::StrCat("k-", job)), 1) << seconds << " s, job " << job;
        }
    }
}

TEST(StoreOutage, KeepsAGangRunning)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e0", "large", "g", gang(16, 2, Adjacency::SameRack, absl::Seconds(60)));
    cluster.runFor(absl::Seconds(1));
    cluster.store().setUnavailable(true);
    cluster.runFor(absl::Seconds(120));
    cluster.store().setUnavailable(false);
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("large", "g"), 16);
}

TEST(StoreOutage, KeepsSubmissionsOfCallersThatWait)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    cluster.store().setUnavailable(true);
    cluster.runFor(absl::Seconds(3));
    const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(1)), absl::Minutes(3));
    cluster.runFor(absl::Seconds(20));
    EXPECT_FALSE(cluster.log(caller).isFinished);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 0);
    cluster.store().setUnavailable(false);
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(60)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 1);
}

TEST(StoreOutage, ReportsAnUnknownOutcomeIfTheCallerStopsWaiting)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    cluster.store().setUnavailable(true);
    const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(1)), absl::Seconds(5));
    cluster.runFor(absl::Seconds(15));
    ASSERT_TRUE(cluster.log(caller).isFinished);
    EXPECT_EQ(errorRow(cluster.kindOf(caller)).execution, Execution::Unknown);
    cluster.store().setUnavailable(false);
    cluster.runFor(absl::Seconds(20));
    const CallerId again = cluster.submit("e1", "small", "k", nonIdempotentJob(absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout));
    EXPECT_EQ(cluster.kindOf(again), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 1);
}

TEST(StoreOutage, AnswersADeclarationTruthfully)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    cluster.store().setUnavailable(true);
    const CallerId caller = cluster.put("e0", Organisation { OrganisationName("new"), 1, 10, 0 });
    cluster.runFor(absl::Seconds(20));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::StoreUnavailable);
    cluster.store().setUnavailable(false);
    cluster.runFor(absl::Seconds(10));
    const CallerId read = cluster.sendRequest("e1", ReadRequest { ConfigKind::Organisation, "new" });
    EXPECT_EQ(cluster.kindOf(read), ErrorKind::NotFound);
}

TEST(StoreOutage, CancelsAJobOnceTheStoreIsAvailable)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Minutes(10)));
    cluster.runFor(absl::Seconds(1));
    cluster.store().setUnavailable(true);
    cluster.sendRequest("e1", CancelRequest { { OrganisationName("small"), "k" }, absl::Minutes(3) }, "small");
    cluster.runFor(absl::Seconds(30));
    cluster.store().setUnavailable(false);
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(60)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::CancelledWhileRunning);
}

// A scheduler dies during the outage, when no other can take over its shards. They are taken over once the store is
// available again.
TEST(StoreOutage, RecoversFromADeathDuringTheOutage)
{
    for (const char* victim : { "s0", "s1", "s2" }) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        std::vector<CallerId> callers;
        callers.reserve(20);
        for (int job = 0; job < 20; ++job)
            callers.push_back(
                cluster.submit("e0", "small", absl::StrCat("k-", job), nonIdempotentJob(absl::Seconds(30))));
        cluster.runFor(absl::Seconds(1));
        cluster.store().setUnavailable(true);
        cluster.runFor(absl::Seconds(5));
        cluster.node(victim).kill();
        cluster.runFor(absl::Seconds(5));
        cluster.store().setUnavailable(false);
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << victim;
        cluster.runFor(absl::Seconds(40));
        for (int job = 0; job < 20; ++job)
            expectAnswerMatchesExecutions(
                cluster, callers[job], "small", absl::StrCat("k-", job), absl::StrCat(victim, " ", job));
    }
}

TEST(StoreOutage, RevertsNothing)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId before = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(before), ErrorKind::None);
    cluster.store().setUnavailable(true);
    cluster.runFor(absl::Minutes(2));
    cluster.store().setUnavailable(false);
    cluster.runFor(absl::Seconds(10));
    for (const char* scheduler : { "s0", "s1", "s2" }) {
        cluster.node(scheduler).kill();
        cluster.node(scheduler).start();
    }
    cluster.runFor(absl::Seconds(20));
    const CallerId again = cluster.submit("e1", "small", "k", nonIdempotentJob(absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(again), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 1);
}

TEST(StoreOutage, SpreadsTheCallsOnceTheStoreIsAvailable)
{
    ClusterOptions options;
    options.schedulers = 6;
    options.entries = 4;
    Cluster cluster(options);
    cluster.declareBuilding();
    for (int job = 0; job < 200; ++job)
        cluster.submit("e0", "small", absl::StrCat("k-", job), nonIdempotentJob(absl::Seconds(3)), absl::Minutes(10));
    cluster.runFor(absl::Seconds(1));
    cluster.store().setUnavailable(true);
    cluster.runFor(absl::Minutes(2));
    cluster.store().setUnavailable(false);
    const std::int64_t before = cluster.store().callCount();
    cluster.runFor(absl::Milliseconds(100));
    const std::int64_t atOnce = cluster.store().callCount() - before;
    cluster.runFor(absl::Milliseconds(900));
    const std::int64_t inFirstSecond = cluster.store().callCount() - before;
    // 10 nodes make four calls each, and each of 256 ledger buckets retries after its own random delay of up to 5 s.
    EXPECT_LE(atOnce, 60);
    EXPECT_LE(inFirstSecond, 300);
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(1)));
}

} // namespace
} // namespace mangohall
