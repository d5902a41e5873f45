// A worker that is leaving, drained, unreachable or failing its tasks gets no new tasks after the time bound.
#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "core/time_const.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration listLag = absl::Seconds(2);
// Allowance for calls that are in flight when the bound is reached.
constexpr absl::Duration callTime = absl::Milliseconds(100);

bool isOn(Cluster& cluster, const TaskExecution& execution, const std::string& workerPrefix)
{
    (void)cluster;
    return execution.incarnation.compare(0, workerPrefix.size(), workerPrefix) == 0;
}

// Submits short jobs and checks that none of their tasks starts on the workers after the given time.
void expectNoTaskStarts(Cluster& cluster, const std::string& workerPrefix, absl::Time after, const char* scenario)
{
    for (int job = 0; job < 150; ++job) {
        cluster.submit("e0", "small", absl::StrCat("after-", job), singleTask(absl::Milliseconds(500), 4));
        cluster.runFor(absl::Milliseconds(100));
    }
    EXPECT_TRUE(cluster.runUntilAnswered(absl::Minutes(3))) << scenario;
    int elsewhere = 0;
    for (const TaskExecution& execution : cluster.workerPool().executions()) {
        if (execution.startedAt <= after)
            continue;
        EXPECT_FALSE(isOn(cluster, execution, workerPrefix))
            << scenario << ": a task started " << execution.startedAt - after << " after the bound on "
            << execution.incarnation;
        ++elsewhere;
    }
    EXPECT_GT(elsewhere, 0) << scenario;
}

// A building with one data centre, so that every worker would be used.
ClusterOptions singleDataCentre()
{
    ClusterOptions options;
    options.dataCentres = 1;
    return options;
}

void keepBusy(Cluster& cluster)
{
    for (int job = 0; job < 40; ++job)
        cluster.submit("e0", "small", absl::StrCat("before-", job), singleTask(absl::Milliseconds(500), 4));
    cluster.runFor(absl::Seconds(1));
}

TEST(Leaving, KeepsNewTasksOffAVmThatIsLeaving)
{
    Cluster cluster(singleDataCentre());
    cluster.declareBuilding();
    keepBusy(cluster);
    cluster.workerPool().leave("dc0-r0-w1");
    const absl::Duration bound = vmListPeriod + listLag + workerHeartbeatPeriod + callTime;
    expectNoTaskStarts(cluster, "dc0-r0-w1-run", cluster.timeline().now() + bound, "leaving VM");
}

TEST(Leaving, KeepsNewTasksOffADrainedWorker)
{
    Cluster cluster(singleDataCentre());
    cluster.declareBuilding();
    keepBusy(cluster);
    cluster.put("e1", Drain { "d", DrainTarget::Worker, "dc0-r0-w2" });
    expectNoTaskStarts(
        cluster, "dc0-r0-w2-run", cluster.timeline().now() + workerHeartbeatPeriod + callTime, "drained worker");
}

TEST(Leaving, KeepsNewTasksOffADrainedRack)
{
    Cluster cluster(singleDataCentre());
    cluster.declareBuilding();
    keepBusy(cluster);
    cluster.put("e1", Drain { "d", DrainTarget::Rack, "dc0-r1" });
    expectNoTaskStarts(cluster, "dc0-r1-", cluster.timeline().now() + workerHeartbeatPeriod + callTime, "drained rack");
}

TEST(Leaving, KeepsNewTasksOffADrainedDataCentre)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    keepBusy(cluster);
    cluster.put("e1", Drain { "d", DrainTarget::DataCentre, "dc1" });
    expectNoTaskStarts(
        cluster, "dc1-", cluster.timeline().now() + workerHeartbeatPeriod + callTime, "drained data centre");
}

TEST(Leaving, KeepsNewTasksOffAFrozenWorker)
{
    Cluster cluster(singleDataCentre());
    cluster.declareBuilding();
    keepBusy(cluster);
    cluster.workerPool().worker("dc0-r0-w3").isFrozen = true;
    const absl::Time bound = cluster.timeline().now() + workerSuspectAfter + workerHeartbeatPeriod + callTime;
    for (int job = 0; job < 60; ++job) {
        cluster.submit("e0", "small", absl::StrCat("during-", job), singleTask(absl::Milliseconds(500), 4));
        cluster.runFor(absl::Milliseconds(100));
    }
    // A task sent to the frozen worker ends once its lease has expired. The other jobs are not delayed.
    cluster.runFor(absl::Seconds(60));
    int unknown = 0;
    for (const auto& [caller, log] : cluster.logs()) {
        ASSERT_TRUE(log.isFinished) << "caller " << caller;
        unknown += cluster.kindOf(caller) == ErrorKind::OutcomeUnknown ? 1 : 0;
    }
    EXPECT_LE(unknown, 8);
    for (const TaskExecution& execution : cluster.workerPool().executions())
        EXPECT_FALSE(execution.startedAt > bound && isOn(cluster, execution, "dc0-r0-w3-run"));
}

// Guards against a worker that attracts tasks by failing them: it is always the emptiest, so without quarantine it
// would get the most tasks.
TEST(Leaving, KeepsAlmostAllTasksOffAWorkerThatFailsThemAll)
{
    Cluster cluster(singleDataCentre());
    cluster.declareBuilding();
    cluster.workerPool().worker("dc0-r0-w0").state->setFailsEveryTask(true);
    for (int job = 0; job < 300; ++job) {
        cluster.submit("e0", "small", absl::StrCat("k-", job), singleTask(absl::Milliseconds(500), 4));
        cluster.runFor(absl::Milliseconds(100));
    }
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(3)));
    int failed = 0;
    for (const auto& [caller, log] : cluster.logs())
        failed += cluster.kindOf(caller) == ErrorKind::TaskFailed ? 1 : 0;
    // One of eight workers would fail 37 tasks even if it attracted none by being empty.
    EXPECT_LE(failed, 20);
}

} // namespace
} // namespace mangohall
