// Gangs on whole nodes, whose members' starts get no reply.
#include <set>
#include <string>

#include "absl/strings/match.h"
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr auto path = "/batch/00000000000000a1";
constexpr auto id = "00000000000000a1";
// A gang of this many members that each fill a worker needs all workers.
constexpr int workerCount = 8;
constexpr int workerAccelerators = 8;
// More starts than are sent in any of the tests.
constexpr int allStarts = 1000;

JobSpec gangOnAllWorkers()
{
    return gangOf("p", workerCount, workerAccelerators);
}

// The reasons that were logged for the job with this worker, of those with a latest end the ones that name it.
std::set<std::string> holdsAt(const BatchCluster& cluster, const std::string& worker)
{
    std::set<std::string> holds;
    for (const DecisionEffect& decision : cluster.decisions()) {
        if (decision.kind != DecisionEffect::Kind::JobHeld || decision.job != id || decision.worker != worker)
            continue;
        EXPECT_FALSE(decision.run.empty());
        EXPECT_GE(decision.age, absl::Seconds(1));
        const bool hasLatestEnd = decision.outcome == "startInDoubt" || decision.outcome == "workerSilent";
        if (!hasLatestEnd || absl::StartsWith(decision.reason, "over within "))
            holds.insert(decision.outcome);
    }
    return holds;
}

TEST(BatchGang, LogsThatAJobWaitsForAStartInDoubt)
{
    BatchCluster cluster;
    cluster.workers().delayNextStarts("w00", allStarts);
    cluster.submit(0, path, gangOnAllWorkers());
    cluster.runFor(absl::Seconds(10));
    EXPECT_TRUE(holdsAt(cluster, "w00").contains("startInDoubt"));
}

TEST(BatchGang, LogsThatAJobWaitsForASilentWorker)
{
    BatchCluster cluster;
    cluster.workers().setCutOff("w00", true);
    cluster.submit(0, path, gangOnAllWorkers());
    cluster.runFor(absl::Seconds(10));
    EXPECT_TRUE(holdsAt(cluster, "w00").contains("workerSilent"));
}

// Guards against the loss of a gang for as long as a start may be in doubt: the members that had begun were stopped as
// stalled while they waited for one whose start got no reply, a moment before that start was repeated.
TEST(BatchGang, LetsMembersWaitForOneWhoseStartIsRepeated)
{
    BatchCluster cluster;
    cluster.workers().delayNextStarts("w00", 2);
    const CallerId caller = cluster.submit(0, path, gangOnAllWorkers());
    cluster.runFor(absl::Seconds(5));
    ASSERT_TRUE(cluster.log(caller).answer);
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(cluster.workers().startCount(id), workerCount);
}

// Guards against the loss of a gang whose members give up after 4 s: a start without a reply was repeated once its call
// had timed out and a poll was answered, twice in that time.
TEST(BatchGang, RepeatsAStartWithinTheTimeThatMembersWait)
{
    BatchCluster cluster;
    cluster.workers().delayNextStarts("w00", 3);
    const CallerId caller = cluster.submit(0, path, gangOnAllWorkers());
    cluster.runFor(absl::Seconds(5));
    ASSERT_TRUE(cluster.log(caller).answer);
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(cluster.workers().aloneCount(), 0);
}

} // namespace
} // namespace mangohall::batch
