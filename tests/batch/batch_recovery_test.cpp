// Owners that are killed, suspended or shut down at any moment.
#include <set>

#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string path = "/batch/00000000000000a1";
const JobId job("00000000000000a1");

// A job of a step of single tasks and a gang, so that every kind of start is under way.
JobSpec mixedJob()
{
    JobSpec spec = tasksOf("p", 6, 2);
    JobSpec gang = gangOf("p", 3, 4);
    gang.steps.front().after = { 0 };
    spec.steps.push_back(gang.steps.front());
    return spec;
}

void expectDoneOnce(BatchCluster& cluster)
{
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_TRUE(cluster.workers().violations().empty()) << cluster.workers().violations().front();
    for (std::int32_t index = 0; index < 6; ++index)
        EXPECT_EQ(cluster.workers().doneCount({ job, { 0, 0, index } }), 1);
    EXPECT_EQ(cluster.workers().aloneCount(), 0);
}

class OwnerKilledAt : public testing::TestWithParam<int> { };

TEST_P(OwnerKilledAt, RunsEveryTaskToItsEndOnce)
{
    BatchCluster cluster;
    cluster.submit(0, path, mixedJob());
    cluster.runFor(absl::Milliseconds(GetParam()));
    const int owner = cluster.owner();
    ASSERT_GE(owner, 0);
    cluster.kill(owner);
    cluster.runFor(absl::Milliseconds(500));
    cluster.start(owner);
    cluster.runFor(absl::Seconds(25));
    expectDoneOnce(cluster);
}

INSTANTIATE_TEST_SUITE_P(
    Moments, OwnerKilledAt, testing::Values(1, 5, 8, 12, 16, 20, 25, 40, 300, 1005, 1010, 1020, 1500));

TEST(BatchRecovery, SurvivesTheLossOfAllNodesAtOnce)
{
    for (const int moment : { 10, 20, 500, 1015, 1030 }) {
        BatchCluster cluster;
        cluster.submit(0, path, mixedJob());
        cluster.runFor(absl::Milliseconds(moment));
        for (int node = 0; node < 3; ++node)
            cluster.kill(node);
        cluster.runFor(absl::Seconds(4));
        for (int node = 0; node < 3; ++node)
            cluster.start(node);
        cluster.runFor(absl::Seconds(25));
        expectDoneOnce(cluster);
    }
}

TEST(BatchRecovery, KeepsAJobWhoseAcceptanceWasDurableWhenEveryNodeDied)
{
    BatchCluster cluster;
    cluster.store().afterNextCommit(Collection::Jobs, [&cluster] {
        for (int node = 0; node < 3; ++node)
            cluster.kill(node);
    });
    cluster.submit(0, path, mixedJob());
    cluster.runFor(absl::Seconds(2));
    for (int node = 0; node < 3; ++node)
        cluster.start(node);
    cluster.runFor(absl::Seconds(20));
    expectDoneOnce(cluster);
}

// Guards against starts by an owner that was suspended: it finds its lease expired before it starts anything.
TEST(BatchRecovery, FencesAnOwnerThatWasSuspended)
{
    for (const int moment : { 9, 14, 18, 22, 30, 1008, 1016 }) {
        BatchCluster cluster;
        cluster.submit(0, path, mixedJob());
        cluster.runFor(absl::Milliseconds(moment));
        const int owner = cluster.owner();
        cluster.suspend(owner, true);
        cluster.runFor(absl::Seconds(5));
        EXPECT_NE(cluster.owner(), owner);
        cluster.suspend(owner, false);
        cluster.runFor(absl::Seconds(20));
        expectDoneOnce(cluster);
    }
}

TEST(BatchRecovery, HandsOverAtOnceWhenItStopsGracefully)
{
    BatchCluster cluster;
    const int owner = cluster.owner();
    cluster.drain(owner);
    cluster.runFor(absl::Milliseconds(400));
    EXPECT_NE(cluster.owner(), owner);
    EXPECT_GE(cluster.owner(), 0);
    EXPECT_FALSE(cluster.isReady(owner));
    // The draining node keeps serving callers that use open connections.
    const CallerId caller = cluster.submit(owner, path, mixedJob());
    cluster.runFor(absl::Milliseconds(300));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    cluster.runFor(absl::Seconds(4));
    EXPECT_TRUE(cluster.isDrained(owner));
    cluster.kill(owner);
    cluster.runFor(absl::Seconds(10));
    expectDoneOnce(cluster);
}

// Guards against a failed task that waits for a start which its worker has confirmed: each node that shuts down gave up
// the ownership without writing what it knew, and the next one did not know which starts might still be executed.
TEST(BatchRecovery, RestartsAFailedTaskWhileTheNodesAreRestartedInTurn)
{
    for (const int moment : { 14, 20, 40, 80, 160, 320 }) {
        SCOPED_TRACE(moment);
        BatchCluster cluster(4);
        cluster.workers().setRunTime("long", absl::Seconds(2));
        cluster.workers().setFailing("long");
        cluster.submit(0, path, tasksOf("long", 1, 1));
        cluster.runFor(absl::Milliseconds(moment));
        ASSERT_EQ(cluster.workers().recordedRuns().size(), 1U);
        cluster.workers().setFailing("long", false);
        std::set<int> left { 0, 1, 2, 3 };
        while (!left.empty()) {
            const int owner = cluster.owner();
            const int node = left.contains(owner) ? owner : *left.begin();
            left.erase(node);
            cluster.drain(node);
            cluster.runFor(absl::Seconds(2));
            cluster.kill(node);
            cluster.start(node);
        }
        EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
        EXPECT_EQ(cluster.workers().recordedRuns().size(), 2U);
    }
}

// Guards against a start that the next owner has to wait for: the node shuts down while a placement is written, while
// the worker has not replied yet, or before the confirmation is written.
TEST(BatchRecovery, LeavesNoStartInDoubtWhenItStopsGracefully)
{
    for (int moment = 1; moment <= 30; ++moment) {
        SCOPED_TRACE(moment);
        BatchCluster cluster;
        cluster.workers().setFailing("p");
        cluster.submit(0, path, mixedJob());
        cluster.runFor(absl::Milliseconds(moment));
        cluster.drain(cluster.owner());
        cluster.runFor(absl::Milliseconds(900));
        cluster.workers().setFailing("p", false);
        cluster.runFor(absl::Seconds(5));
        expectDoneOnce(cluster);
    }
}

// Guards against an ownership that moves from one slow node to the next: an owner with too little of a processor renews
// its lease late and loses the ownership, so the node with the most processor has to claim it first.
TEST(BatchRecovery, GivesTheOwnershipToTheNodeWithTheMostProcessor)
{
    for (int largest = 0; largest < 3; ++largest) {
        BatchCluster cluster;
        for (int node = 0; node < 3; ++node) {
            cluster.kill(node);
            cluster.setProcessorShare(node, node == largest ? 0.5 : 0.12);
        }
        cluster.runFor(absl::Seconds(3));
        for (int node = 0; node < 3; ++node)
            cluster.start(node);
        cluster.runFor(absl::Seconds(2));
        EXPECT_EQ(cluster.owner(), largest);
    }
}

TEST(BatchRecovery, EvictsNothingBeforeAllWorkersHaveAnsweredTheNewOwner)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(20));
    cluster.submit(0, path, tasksOf("long", 7, 8, absl::Seconds(20)));
    cluster.runFor(absl::Seconds(1));
    cluster.kill(cluster.owner());
    cluster.submit((cluster.owner() + 1) % 3, "/urgent/00000000000000b1", tasksOf("p", 1, 8));
    cluster.runFor(absl::Seconds(25));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 7);
}

} // namespace
} // namespace mangohall::batch
