// Either all tasks of a gang start or none does.
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration answerTimeout = absl::Minutes(4);
constexpr int tasks = 16;

// Checks that each attempt which executed any task executed all `count` tasks, each once, so that no task was released
// before all were prepared. With `mayLoseWorkers`, tasks may be missing because workers were lost after the release.
void expectAllOrNothing(
    Cluster& cluster, const std::string& key, int count, bool mayLoseWorkers, const std::string& scenario)
{
    std::map<int, std::multiset<int>> byAttempt;
    for (const TaskExecution& execution : cluster.workerPool().executions()) {
        if (execution.task.job.requestKey == key)
            byAttempt[execution.task.attempt].insert(execution.task.index);
    }
    for (const auto& [attempt, indices] : byAttempt) {
        const std::set<int> distinct(indices.begin(), indices.end());
        EXPECT_EQ(distinct.size(), indices.size()) << scenario << ": a task of attempt " << attempt << " ran twice";
        if (!mayLoseWorkers) {
            EXPECT_EQ(static_cast<int>(indices.size()), count) << scenario << ", attempt " << attempt;
        }
    }
}

// Checks that the answer agrees with the executions on whether the gang ran.
void expectGangAnswerMatchesExecutions(
    Cluster& cluster, CallerId caller, const std::string& key, const std::string& scenario)
{
    const int executions = cluster.executionsOf("large", key);
    const ErrorKind kind = cluster.kindOf(caller);
    const Execution reportedExecution = errorRow(kind).execution;
    if (reportedExecution == Execution::Ran) {
        EXPECT_GT(executions, 0) << scenario << " was answered " << errorRow(kind).name;
    }
    if (reportedExecution == Execution::NotRun) {
        EXPECT_EQ(executions, 0) << scenario << " was answered " << errorRow(kind).name;
    }
}

JobSpec rackGang()
{
    return gang(tasks, 2, Adjacency::SameRack, absl::Seconds(3));
}

enum class Victim {
    Home,
    Others,
    All,
};

void killSchedulersAtEachOffset(Victim victim, const char* name, const JobSpec& spec, int steps)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; offsetMs += steps) {
        ClusterOptions options;
        options.seed = 40 + static_cast<std::uint64_t>(offsetMs);
        Cluster cluster(options);
        cluster.declareBuilding();
        const std::string scenario = absl::StrCat(name, " killed at ", offsetMs, " ms");
        const CallerId caller = cluster.submit("e0", "large", "gang", spec);
        cluster.runFor(absl::Milliseconds(offsetMs));
        const std::string home = homeShardOwner(cluster, "large", "gang");
        for (const char* scheduler : { "s0", "s1", "s2" }) {
            const bool isHome = home == scheduler;
            if (victim == Victim::All || isHome == (victim == Victim::Home))
                cluster.node(scheduler).kill();
        }
        cluster.runFor(absl::Seconds(2));
        for (auto& [node, process] : cluster.nodes()) {
            if (!process->isAlive())
                process->start();
        }
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << scenario;
        cluster.runFor(absl::Seconds(40));
        expectAllOrNothing(cluster, "gang", spec.shape.tasks, false, scenario);
        expectGangAnswerMatchesExecutions(cluster, caller, "gang", scenario);
    }
}

TEST(Gang, StartsWholeWhenTheHomeDies)
{
    killSchedulersAtEachOffset(Victim::Home, "home", rackGang(), 1);
}

TEST(Gang, StartsWholeWhenTheOthersDie)
{
    killSchedulersAtEachOffset(Victim::Others, "others", rackGang(), 1);
}

TEST(Gang, StartsWholeWhenEverySchedulerDies)
{
    killSchedulersAtEachOffset(Victim::All, "all", rackGang(), 1);
}

TEST(Gang, StartsWholeOverShardsWhenSchedulersDie)
{
    const JobSpec wide = gang(90, 2, Adjacency::Anywhere, absl::Seconds(3));
    killSchedulersAtEachOffset(Victim::Home, "home of a wide gang", wide, 3);
    killSchedulersAtEachOffset(Victim::Others, "others of a wide gang", wide, 3);
}

TEST(Gang, StartsWholeWhenAWorkerFreezesOnTheWay)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; offsetMs += 2) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        const std::string scenario = absl::StrCat("a worker of each rack freezes at ", offsetMs, " ms");
        const CallerId caller = cluster.submit("e0", "large", "gang", rackGang());
        cluster.runFor(absl::Milliseconds(offsetMs));
        for (auto& [name, worker] : cluster.workerPool().workers())
            worker.isFrozen = worker.isFrozen || name.ends_with("-w1");
        cluster.runFor(absl::Seconds(60));
        for (auto& [name, worker] : cluster.workerPool().workers())
            worker.isFrozen = false;
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << scenario;
        cluster.runFor(absl::Seconds(40));
        expectAllOrNothing(cluster, "gang", tasks, true, scenario);
        expectGangAnswerMatchesExecutions(cluster, caller, "gang", scenario);
    }
}

TEST(Gang, StartsWholeWhenCallsToWorkersAreLost)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        Cluster cluster(options);
        cluster.declareBuilding();
        cluster.workerPool().setLoss(0.1);
        const CallerId caller = cluster.submit("e0", "large", "gang", rackGang());
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << "seed " << seed;
        cluster.runFor(absl::Seconds(40));
        // If the release does not reach a worker, the gang may be stopped after some of its tasks were released.
        expectGangAnswerMatchesExecutions(cluster, caller, "gang", absl::StrCat("seed ", seed));
        expectAllOrNothing(cluster, "gang", tasks, true, absl::StrCat("seed ", seed));
    }
}

TEST(Gang, StopsTheOthersWhenAMemberIsLost)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId caller
        = cluster.submit("e0", "large", "gang", gang(tasks, 2, Adjacency::SameRack, absl::Minutes(30)));
    cluster.runFor(absl::Seconds(2));
    ASSERT_EQ(cluster.executionsOf("large", "gang"), tasks);
    cluster.workerPool().kill(cluster.workerPool().workers().begin()->first);
    for (const TaskExecution& execution : cluster.workerPool().executions()) {
        for (auto& [name, worker] : cluster.workerPool().workers()) {
            if (execution.incarnation == worker.state->incarnation() && !worker.isDead) {
                cluster.workerPool().kill(name);
                ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(2)));
                EXPECT_EQ(cluster.kindOf(caller), ErrorKind::OutcomeUnknown);
                // The capacity is free again, so the next gang starts at once.
                const CallerId next = cluster.submit("e0", "large", "next", rackGang());
                ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
                EXPECT_EQ(cluster.kindOf(next), ErrorKind::None);
                return;
            }
        }
    }
}

TEST(Gang, StartsGangsThatCompeteForTheSameRacks)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        options.dataCentres = 1;
        options.schedulers = 2;
        Cluster cluster(options);
        cluster.declareBuilding();
        std::vector<CallerId> callers;
        callers.reserve(4);
        for (int index = 0; index < 4; ++index)
            callers.push_back(cluster.submit(index % 2 == 0 ? "e0" : "e1", "large", absl::StrCat("gang-", index),
                gang(8, 8, Adjacency::SameDataCentre, absl::Seconds(2))));
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << "seed " << seed;
        for (int index = 0; index < 4; ++index) {
            EXPECT_EQ(cluster.kindOf(callers[index]), ErrorKind::None) << "seed " << seed << " gang " << index;
            expectAllOrNothing(cluster, absl::StrCat("gang-", index), 8, false, absl::StrCat("seed ", seed));
        }
    }
}

TEST(Gang, StartsTheLargestWhole)
{
    ClusterOptions options;
    options.dataCentres = 1;
    options.racksPerDataCentre = 8;
    options.workersPerRack = 8;
    Cluster cluster(options);
    cluster.declareBuilding();
    const CallerId caller
        = cluster.submit("e0", "large", "largest", gang(512, 1, Adjacency::SameDataCentre, absl::Seconds(5)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(1)));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    expectAllOrNothing(cluster, "largest", 512, false, "largest");
}

} // namespace
} // namespace mangohall
