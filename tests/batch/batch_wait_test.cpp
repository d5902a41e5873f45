// Tests how long jobs wait for workers on a cluster of nodes without faults, as callers and workers observe it.
#include <map>
#include <set>
#include <string>

#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string urgentPath = "/urgent/00000000000000a1";
const std::string batchPath = "/batch/00000000000000b2";
// A job may have nothing running for this long while its tasks fit twice.
constexpr absl::Duration longestStandstill = absl::Seconds(3);

// The number of runs of the batch job that `batchPath` names.
int startsOfBatchJob(BatchCluster& cluster)
{
    return cluster.workers().startCount("00000000000000b2");
}

// A cluster on which an urgent job, or a batch job on the rack r0 first of all, occupies five of the eight workers for
// a long time.
class BusyCluster : public BatchCluster {
public:
    explicit BusyCluster(bool isUrgent)
    {
        workers().setRunTime("long", absl::Seconds(100));
        JobSpec spec = tasksOf("long", 5, 8, absl::Seconds(100));
        if (!isUrgent)
            spec.steps.front().dataRack = RackName("r0");
        submit(0, isUrgent ? urgentPath : "/batch/00000000000000c3", spec);
        runFor(absl::Seconds(3));
    }
};

// Guards against a job that has nothing running while free workers are reserved for urgent work: most workers are busy.
TEST(BatchWait, StartsAnIdleJobOnReservedWorkers)
{
    BusyCluster cluster(true);
    cluster.submit(0, batchPath, tasksOf("long", 2, 8));
    cluster.runFor(longestStandstill);
    EXPECT_EQ(startsOfBatchJob(cluster), 1);
}

// Guards against a job that has nothing running beside free workers on other racks than that of its data.
TEST(BatchWait, StartsAnIdleJobFarFromItsData)
{
    BusyCluster cluster(false);
    JobSpec spec = tasksOf("long", 2, 8, absl::Seconds(8));
    spec.steps.front().dataRack = RackName("r0");
    cluster.submit(0, batchPath, spec);
    cluster.runFor(longestStandstill);
    EXPECT_EQ(startsOfBatchJob(cluster), 1);
}

// Guards against a wait for a rack by a gang that needs more workers than any rack has.
TEST(BatchWait, WaitsForNoRackThatCannotHoldAGang)
{
    BatchCluster cluster;
    JobSpec spec = gangOf("p", 5, 8);
    spec.steps.front().isRackLocal = true;
    cluster.submit(0, batchPath, spec);
    cluster.runFor(absl::Milliseconds(500));
    EXPECT_EQ(startsOfBatchJob(cluster), 5);
}

// Guards against the incident of a guaranteed gang that began too late: it had waited for a rack that could hold it,
// and no run was evicted for it meanwhile. The organisation "large" is guaranteed 32 accelerators.
TEST(BatchWait, EvictsAtOnceForAGuaranteedGangThatNoRackCanHold)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(60));
    cluster.submit(0, batchPath, tasksOf("long", 8, 8, absl::Seconds(60)));
    cluster.runFor(absl::Seconds(3));
    JobSpec spec = gangOf("p", 5, 6);
    spec.steps.front().isRackLocal = true;
    cluster.submit(1, urgentPath, spec);
    cluster.runFor(absl::Milliseconds(500));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 5);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

// The jobs that were logged as held, and why.
std::map<std::string, std::set<std::string>> heldJobs(const BatchCluster& cluster)
{
    std::map<std::string, std::set<std::string>> reasons;
    for (const DecisionEffect& decision : cluster.decisions()) {
        if (decision.kind == DecisionEffect::Kind::JobHeld)
            reasons[decision.job].insert(decision.outcome);
    }
    return reasons;
}

TEST(BatchWait, LogsWhyAJobHasNothingRunning)
{
    using Reasons = std::set<std::string>;
    BusyCluster reserved(true);
    reserved.submit(0, batchPath, tasksOf("long", 1, 8));
    reserved.runFor(absl::Milliseconds(1700));
    EXPECT_EQ(heldJobs(reserved)["00000000000000b2"], Reasons { "reserved" });

    BusyCluster rackFull(false);
    JobSpec near = tasksOf("long", 1, 8, absl::Seconds(8));
    near.steps.front().dataRack = RackName("r0");
    rackFull.submit(0, batchPath, near);
    rackFull.runFor(absl::Milliseconds(1700));
    EXPECT_EQ(heldJobs(rackFull)["00000000000000b2"], Reasons { "awaitsRack" });

    BusyCluster full(false);
    full.submit(0, batchPath, gangOf("long", 5, 8));
    full.runFor(absl::Milliseconds(1700));
    EXPECT_EQ(heldJobs(full)["00000000000000b2"], Reasons { "noCapacity" });
}

TEST(BatchWait, LogsWhenAGuaranteedJobHasBegun)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(60));
    cluster.submit(0, batchPath, tasksOf("long", 8, 8, absl::Seconds(60)));
    cluster.runFor(absl::Seconds(3));
    cluster.submit(1, urgentPath, gangOf("p", 2, 8));
    cluster.runFor(absl::Seconds(2));
    int count = 0;
    for (const DecisionEffect& decision : cluster.decisions()) {
        if (decision.kind != DecisionEffect::Kind::GuaranteeMet)
            continue;
        ++count;
        EXPECT_EQ(decision.job, "00000000000000a1");
        EXPECT_LT(decision.age, absl::Seconds(1));
        ASSERT_TRUE(decision.startTimes);
        EXPECT_LE(decision.startTimes->added, decision.startTimes->firstEviction);
        EXPECT_LT(decision.startTimes->firstEviction, decision.startTimes->lastPlacement);
        EXPECT_LT(decision.startTimes->lastPlacement, decision.age);
    }
    EXPECT_EQ(count, 1);
}

} // namespace
} // namespace mangohall::batch
