// A store that is out, refuses one node, loses its history or sends no replies.
#include "absl/strings/str_cat.h"
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string path = "/batch/00000000000000a1";

TEST(BatchStoreFault, RunsEveryTaskOnceThroughLostAnswers)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        BatchCluster cluster(3, seed);
        cluster.store().setLostAnswers(0.4);
        const CallerId caller = cluster.submit(0, path, tasksOf("p", 10, 1));
        cluster.runFor(absl::Seconds(5));
        cluster.store().setLostAnswers(0);
        cluster.runFor(absl::Seconds(15));
        if (cluster.kindOf(caller) == ErrorKind::None) {
            EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
        }
        EXPECT_TRUE(cluster.workers().violations().empty());
    }
}

// Guards against a job of many tasks that stops all work: its progress outgrew the store's largest value, and the
// refused commit was repeated without end together with the progress of other jobs.
TEST(BatchStoreFault, RunsAJobWhoseProgressWouldOutgrowARecordBesideOthers)
{
    BatchCluster cluster;
    cluster.store().setMaxValueBytes(std::size_t { 1 } << 19U);
    JobSpec large = tasksOf("p", 12000, 0);
    large.steps.front().demand = { 10, 1 << 10, 0 };
    cluster.submit(0, path, large);
    cluster.runFor(absl::Seconds(2));
    for (int number = 1; number <= 6; ++number)
        cluster.submit(0, absl::StrCat("/batch/00000000000000b", number), tasksOf("p", 2, 1));
    cluster.runFor(absl::Seconds(5));
    for (int number = 1; number <= 6; ++number)
        EXPECT_EQ(cluster.phaseOf(absl::StrCat("/batch/00000000000000b", number)), JobPhase::Completed);
    cluster.runFor(absl::Seconds(40));
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(cluster.store().oversizedCommitCount(), 0);
}

TEST(BatchStoreFault, RunsEveryTaskOnceThroughCommitsThatAreCarriedOutLate)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        BatchCluster cluster(3, seed);
        cluster.store().setLateCommits(0.4);
        const CallerId caller = cluster.submit(0, path, tasksOf("p", 10, 1));
        cluster.runFor(absl::Seconds(8));
        cluster.store().setLateCommits(0);
        cluster.runFor(absl::Seconds(20));
        if (cluster.kindOf(caller) == ErrorKind::None) {
            EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
        }
        EXPECT_TRUE(cluster.workers().violations().empty());
    }
}

TEST(BatchStoreFault, RefusesAtOnceAndStartsNothingWhileTheStoreRefuses)
{
    BatchCluster cluster;
    cluster.store().setOut(true);
    const CallerId caller = cluster.submit(0, path, tasksOf("p", 1, 1));
    cluster.runFor(absl::Milliseconds(300));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::StoreRefused);
    cluster.store().setOut(false);
    cluster.runFor(absl::Seconds(10));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 0);
}

TEST(BatchStoreFault, SaysThatTheOutcomeIsUnknownWhileTheStoreIsSilent)
{
    BatchCluster cluster;
    cluster.store().setOut(true, true);
    const CallerId caller = cluster.submit(0, path, tasksOf("p", 1, 1));
    cluster.runFor(absl::Seconds(3));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::OutcomeUnknown);
    EXPECT_LT(cluster.log(caller).answeredAt, cluster.log(caller).request.deadline);
}

// Running tasks survive an outage that is shorter than their workers' leases.
TEST(BatchStoreFault, ContinuesRunningTasksAfterAnOutage)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(8));
    cluster.submit(0, path, tasksOf("long", 4, 1));
    cluster.runFor(absl::Seconds(1));
    cluster.store().setOut(true);
    cluster.runFor(absl::Seconds(5));
    cluster.store().setOut(false);
    cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 4);
}

// Guards against the use of a revoked key: a node that can no longer read the manifest refuses every call with a key.
TEST(BatchStoreFault, TakesNoKeyOnceTheManifestIsTooOld)
{
    BatchCluster cluster;
    cluster.store().refuseNode("node-1", true);
    // The manifest may have been confirmed until just before the refusals began.
    cluster.runFor(absl::Seconds(6));
    EXPECT_FALSE(cluster.isReady(1));
    EXPECT_TRUE(cluster.isReady(0));
    const CallerId caller = cluster.query(1, path);
    cluster.runFor(absl::Milliseconds(100));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::ManifestStale);
    cluster.store().refuseNode("node-1", false);
    cluster.runFor(absl::Seconds(3));
    EXPECT_TRUE(cluster.isReady(1));
}

TEST(BatchStoreFault, PassesOwnershipOnWhenOnlyTheOwnerIsRefused)
{
    BatchCluster cluster;
    const int owner = cluster.owner();
    cluster.store().refuseNode("node-" + std::to_string(owner), true);
    cluster.runFor(absl::Seconds(4));
    EXPECT_NE(cluster.owner(), owner);
    EXPECT_GE(cluster.owner(), 0);
    cluster.submit((owner + 1) % 3, path, tasksOf("p", 2, 1));
    cluster.runFor(absl::Seconds(4));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 2);
}

TEST(BatchStoreFault, ReadsAgainWhenTheHistoryIsGone)
{
    BatchCluster cluster;
    cluster.submit(0, path, tasksOf("p", 2, 1));
    cluster.store().compact();
    cluster.runFor(absl::Seconds(1));
    cluster.store().compact();
    cluster.submit(1, "/batch/00000000000000b1", tasksOf("p", 2, 1));
    cluster.store().compact();
    cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(cluster.phaseOf("/batch/00000000000000b1"), JobPhase::Completed);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

TEST(BatchStoreFault, UsesNoWorkerWhoseEntryCannotBeRead)
{
    BatchCluster cluster;
    for (int worker = 0; worker < 4; ++worker)
        cluster.store().put({ Collection::Workers, "w0" + std::to_string(worker) }, UnreadableRecord { "no JSON" });
    cluster.runFor(absl::Seconds(1));
    cluster.submit(0, path, tasksOf("p", 4, 8));
    cluster.runFor(absl::Seconds(4));
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    for (const RecordedRun& run : cluster.workers().recordedRuns())
        EXPECT_EQ(run.worker.substr(0, 2), "w1");
}

} // namespace
} // namespace mangohall::batch
