// End-to-end tests of the main operations on several nodes with a simulated clock.
#include "absl/strings/str_cat.h"
#include "cluster/cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

TEST(WholePath, RunsAJobAndAnswersItsCaller)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e1", "small", "renewal-1", singleTask(absl::Seconds(2)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    const JobStatus status = cluster.statusOf(caller);
    EXPECT_EQ(status.phase, JobPhase::Ended);
    EXPECT_EQ(status.outcome, ErrorKind::None);
    ASSERT_EQ(status.results.size(), 1U);
    EXPECT_EQ(status.results[0], "done");
    EXPECT_EQ(cluster.executionsOf("small", "renewal-1"), 1);
}

TEST(WholePath, StartsAGangWhole)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e0", "large", "zone", gang(16, 2, Adjacency::SameRack, absl::Seconds(3)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("large", "zone"), 16);
}

TEST(WholePath, SpreadsAGangOverShardsThatNoneCanCarry)
{
    ClusterOptions options;
    options.workersPerRack = 2;
    Cluster cluster(options);
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e0", "large", "wide", gang(60, 1, Adjacency::Anywhere, absl::Seconds(3)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(2)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("large", "wide"), 60);
}

TEST(WholePath, RefusesAShapeThatFitsNowhere)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller = cluster.submit("e0", "large", "huge", gang(2, 9, Adjacency::SameWorker, absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::NeverFits);
    EXPECT_EQ(cluster.executionsOf("large", "huge"), 0);
}

TEST(WholePath, AnswersAKeyUsedBeforeFromTheSameJob)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId first = cluster.submit("e0", "small", "k", singleTask(absl::Seconds(2)));
    const CallerId second = cluster.submit("e1", "small", "k", singleTask(absl::Seconds(2)));
    cluster.runFor(absl::Seconds(1));
    const CallerId other = cluster.submit("e1", "small", "k", singleTask(absl::Seconds(3)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(first), ErrorKind::None);
    EXPECT_EQ(cluster.kindOf(second), ErrorKind::None);
    EXPECT_EQ(cluster.kindOf(other), ErrorKind::KeyReused);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 1);
}

// Kills each scheduler in turn while jobs are running.
TEST(WholePath, LosesNoAcceptedJobWhenAnySchedulerDies)
{
    for (const char* victim : { "s0", "s1", "s2" }) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        std::vector<CallerId> callers;
        for (int job = 0; job < 40; ++job) {
            callers.push_back(cluster.submit("e0", "small", absl::StrCat("job-", job), singleTask(absl::Seconds(5))));
            cluster.runFor(absl::Milliseconds(100));
        }
        cluster.node(victim).kill();
        ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(3))) << victim;
        for (int job = 0; job < 40; ++job) {
            EXPECT_EQ(cluster.kindOf(callers[job]), ErrorKind::None) << victim << " job " << job;
            EXPECT_EQ(cluster.executionsOf("small", absl::StrCat("job-", job)), 1) << victim << " job " << job;
        }
    }
}

TEST(WholePath, BringsADeclarationIntoForceEverywhere)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    cluster.put("e0", Organisation { OrganisationName("new"), 1, 10, 0 });
    cluster.runFor(absl::Seconds(2));
    const CallerId caller = cluster.sendRequest("e1", ReadRequest { ConfigKind::Organisation, "new" });
    cluster.runFor(absl::Seconds(1));
    const auto* answer = std::get_if<ConfigAnswer>(&cluster.log(caller).answers.back());
    ASSERT_NE(answer, nullptr);
    EXPECT_TRUE(answer->isInForce);
}

TEST(WholePath, HandsShardsOverWhenANodeIsDrained)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    std::vector<CallerId> callers;
    callers.reserve(20);
    for (int job = 0; job < 20; ++job)
        callers.push_back(cluster.submit("e0", "small", absl::StrCat("job-", job), singleTask(absl::Seconds(5))));
    cluster.runFor(absl::Seconds(1));
    cluster.node("s1").post(DrainEvent());
    cluster.runFor(absl::Seconds(5));
    EXPECT_TRUE(cluster.node("s1").isDrained());
    cluster.node("s1").kill();
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(1)));
    for (const CallerId caller : callers)
        EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
}

} // namespace
} // namespace mangohall
