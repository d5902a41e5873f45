// A non-idempotent job runs at most once whatever fails, and its answer agrees with its executions.
#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration runTime = absl::Seconds(2);
constexpr absl::Duration answerTimeout = absl::Minutes(4);

// The nodes that are killed, and other faults at the same time.
struct Fault {
    const char* name;
    // Kills the owner of the job's home shard.
    bool isHomeKilled = false;
    // Kills all other schedulers, which own the building shards.
    bool isBuildingKilled = false;
    // Fraction of store writes whose answers are lost.
    double lostStoreAnswers = 0;
};

void runWithFaultAt(const Fault& fault, int offsetMs)
{
    ClusterOptions options;
    options.seed = 100 + static_cast<std::uint64_t>(offsetMs);
    Cluster cluster(options);
    cluster.declareBuilding();
    cluster.store().setLostAnswers(fault.lostStoreAnswers);
    const std::string scenario = absl::StrCat(fault.name, " at ", offsetMs, " ms");
    const CallerId caller = cluster.submit("e0", "small", "once", nonIdempotentJob(runTime));
    cluster.runFor(absl::Milliseconds(offsetMs));
    const std::string home = homeShardOwner(cluster, "small", "once");
    if (fault.isHomeKilled)
        cluster.node(home).kill();
    for (const char* scheduler : { "s0", "s1", "s2" }) {
        if (fault.isBuildingKilled && scheduler != home)
            cluster.node(scheduler).kill();
    }
    cluster.runFor(absl::Seconds(3));
    for (auto& [name, node] : cluster.nodes()) {
        if (!node->isAlive())
            node->start();
    }
    ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << scenario;
    cluster.runFor(absl::Seconds(40));
    expectAnswerMatchesExecutions(cluster, caller, "small", "once", scenario);
}

void runWithFaultAtEachOffset(const Fault& fault)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; ++offsetMs)
        runWithFaultAt(fault, offsetMs);
}

TEST(AtMostOnce, HoldsWhenTheHomeDiesAnywhereOnThePath)
{
    runWithFaultAtEachOffset({ "home killed", true, false, 0 });
}

TEST(AtMostOnce, HoldsWhenTheOthersDieAnywhereOnThePath)
{
    runWithFaultAtEachOffset({ "building killed", false, true, 0 });
}

TEST(AtMostOnce, HoldsWhenEverySchedulerDiesAnywhereOnThePath)
{
    runWithFaultAtEachOffset({ "all killed", true, true, 0 });
}

TEST(AtMostOnce, HoldsWhenStoreAnswersAreLostToo)
{
    runWithFaultAtEachOffset({ "home killed, store answers lost", true, false, 0.3 });
    runWithFaultAtEachOffset({ "all killed, store answers lost", true, true, 0.3 });
}

TEST(AtMostOnce, HoldsWhenTheEntryDiesAndTheCallerAsksAnother)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; ++offsetMs) {
        ClusterOptions options;
        options.seed = 300 + static_cast<std::uint64_t>(offsetMs);
        Cluster cluster(options);
        cluster.declareBuilding();
        cluster.submit("e0", "small", "once", nonIdempotentJob(runTime));
        cluster.runFor(absl::Milliseconds(offsetMs));
        cluster.node("e0").kill();
        const CallerId again = cluster.submit("e1", "small", "once", nonIdempotentJob(runTime));
        cluster.runFor(absl::Seconds(20));
        EXPECT_EQ(cluster.kindOf(again), ErrorKind::None) << offsetMs;
        expectAnswerMatchesExecutions(
            cluster, again, "small", "once", absl::StrCat("entry killed at ", offsetMs, " ms"));
    }
}

// A scheduler is suspended until its lease has expired and continues after others have taken over its shards.
TEST(AtMostOnce, HoldsWhenAnOwnerGoesOnAfterItsLeaseHasLapsed)
{
    for (const int seconds : { 8, 12, 20, 30, 40 }) {
        for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; offsetMs += 3) {
            for (const char* victim : { "s0", "s1", "s2" }) {
                ClusterOptions options;
                options.seed = 500 + static_cast<std::uint64_t>(offsetMs);
                Cluster cluster(options);
                cluster.declareBuilding();
                const CallerId caller = cluster.submit("e0", "small", "once", nonIdempotentJob(runTime));
                cluster.runFor(absl::Milliseconds(offsetMs));
                cluster.node(victim).pause();
                cluster.runFor(absl::Seconds(seconds));
                cluster.node(victim).resume();
                const std::string scenario = absl::StrCat(victim, " paused at ", offsetMs, " ms for ", seconds, " s");
                ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << scenario;
                cluster.runFor(absl::Seconds(40));
                expectAnswerMatchesExecutions(cluster, caller, "small", "once", scenario);
            }
        }
    }
}

TEST(AtMostOnce, HoldsForOneKeyAtTwoEntriesAtOnce)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        Cluster cluster(options);
        cluster.declareBuilding();
        cluster.network().setLoss(0.2);
        cluster.network().setDuplication(0.2);
        cluster.network().setJitter(absl::Milliseconds(50));
        const CallerId first = cluster.submit("e0", "small", "once", nonIdempotentJob(runTime));
        const CallerId second = cluster.submit("e1", "small", "once", nonIdempotentJob(runTime));
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << "seed " << seed;
        expectAnswerMatchesExecutions(cluster, first, "small", "once", absl::StrCat("first, seed ", seed));
        expectAnswerMatchesExecutions(cluster, second, "small", "once", absl::StrCat("second, seed ", seed));
        EXPECT_EQ(cluster.kindOf(first), cluster.kindOf(second)) << "seed " << seed;
    }
}

TEST(AtMostOnce, HoldsThroughAnOutageOfTheStore)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; ++offsetMs) {
        ClusterOptions options;
        options.seed = 700 + static_cast<std::uint64_t>(offsetMs);
        Cluster cluster(options);
        cluster.declareBuilding();
        const CallerId caller = cluster.submit("e0", "small", "once", nonIdempotentJob(runTime));
        cluster.runFor(absl::Milliseconds(offsetMs));
        cluster.store().setUnavailable(true);
        cluster.runFor(absl::Seconds(20));
        cluster.store().setUnavailable(false);
        const std::string scenario = absl::StrCat("store out at ", offsetMs, " ms");
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << scenario;
        cluster.runFor(absl::Seconds(40));
        expectAnswerMatchesExecutions(cluster, caller, "small", "once", scenario);
    }
}

} // namespace
} // namespace mangohall
