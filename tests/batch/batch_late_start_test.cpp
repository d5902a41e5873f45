// Starts that get no reply and are executed by the next process of their worker, seconds later.
#include <string>
#include <tuple>

#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string path = "/batch/00000000000000a1";
const std::string id = "00000000000000a1";

// How many seconds after the start its worker is restarted, and whether all nodes are killed after the start.
class StartThatOutlivesItsProcess : public testing::TestWithParam<std::tuple<int, bool>> {
protected:
    // Sends a task, whose start is executed by the next process of its worker, and lets it come to its end.
    void runTask(const std::string& payload)
    {
        m_cluster.workers().outliveNextStart();
        m_cluster.submit(0, path, tasksOf(payload, 1, 8, absl::Seconds(6)));
        m_cluster.runFor(absl::Milliseconds(200));
        ASSERT_FALSE(m_cluster.workers().workerOfOutlivedStart().empty());
        if (std::get<1>(GetParam()))
            replaceNodes();
        m_cluster.runFor(absl::Seconds(std::get<0>(GetParam())));
        m_cluster.workers().restart(m_cluster.workers().workerOfOutlivedStart(), absl::Seconds(1));
        m_cluster.runFor(absl::Seconds(60));
    }

    void replaceNodes()
    {
        for (int node = 0; node < 3; ++node)
            m_cluster.kill(node);
        for (int node = 0; node < 3; ++node)
            m_cluster.start(node);
    }

    void expectNoViolation()
    {
        const std::vector<std::string> violations = m_cluster.workers().violations();
        EXPECT_TRUE(violations.empty()) << violations.front();
    }

    BatchCluster m_cluster;
};

// Guards against TWICE: the late start was executed beside another run of the task, or after one that was done.
TEST_P(StartThatOutlivesItsProcess, RunsNoTaskTwice)
{
    m_cluster.workers().setRunTime("long", absl::Seconds(6));
    runTask("long");
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(m_cluster.workers().startCount(id), 1);
    expectNoViolation();
}

// Guards against BUDGET: the late start was executed after the task had failed as often as its job allows.
TEST_P(StartThatOutlivesItsProcess, RunsNoTaskBeyondItsAttempts)
{
    m_cluster.workers().setFailing("failing");
    m_cluster.workers().setRunTime("failing", absl::Seconds(1));
    runTask("failing");
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Failed);
    expectNoViolation();
}

// Guards against LIMIT: the late start was executed on a worker whose room was in use by then.
TEST_P(StartThatOutlivesItsProcess, KeepsTheRoomOfTheRun)
{
    m_cluster.workers().setRunTime("long", absl::Seconds(6));
    m_cluster.workers().setRunTime("filler", absl::Seconds(3));
    m_cluster.workers().outliveNextStart();
    m_cluster.submit(0, path, tasksOf("long", 1, 8, absl::Seconds(6)));
    m_cluster.runFor(absl::Milliseconds(200));
    if (std::get<1>(GetParam())) {
        replaceNodes();
        m_cluster.runFor(absl::Seconds(2));
    }
    m_cluster.submit(0, "/batch/00000000000000b1", tasksOf("filler", 40, 8, absl::Seconds(3)));
    m_cluster.runFor(absl::Seconds(std::get<0>(GetParam())));
    m_cluster.workers().restart(m_cluster.workers().workerOfOutlivedStart(), absl::Seconds(1));
    m_cluster.runFor(absl::Seconds(60));
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(m_cluster.phaseOf("/batch/00000000000000b1"), JobPhase::Completed);
    expectNoViolation();
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, StartThatOutlivesItsProcess, testing::Combine(testing::Values(1, 3, 7, 11), testing::Bool()));

// Usual work does not wait: a task that was known to run is started again as soon as the next owner learns that its
// worker's process was replaced.
TEST(ChangeOfOwner, StartsWhatEndedWithItsProcessAgainAtOnce)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(8));
    cluster.submit(0, path, tasksOf("long", 1, 8, absl::Seconds(8)));
    cluster.runFor(absl::Seconds(2));
    ASSERT_EQ(cluster.workers().startCount(id), 1);
    for (int node = 0; node < 3; ++node)
        cluster.kill(node);
    cluster.workers().restart(cluster.workers().recordedRuns().front().worker);
    for (int node = 0; node < 3; ++node)
        cluster.start(node);
    cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(cluster.workers().startCount(id), 2);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

// Guards against LIMIT and ROUTE: the reply of a worker had named a new process, and a task was started there by the
// entry of the earlier one, which had more room and another label.
TEST(NewProcess, GetsNoWorkByTheEntryOfAnEarlierOne)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(20));
    cluster.submit(0, "/batch/00000000000000b1", tasksOf("long", 7, 8, absl::Seconds(20)));
    cluster.runFor(absl::Milliseconds(500));
    JobSpec spec = tasksOf("short", 1, 8);
    spec.steps.front().requiredLabel = WorkerLabel("a");
    cluster.workers().setRunTime("short", absl::Seconds(5));
    cluster.submit(0, path, spec);
    cluster.runFor(absl::Seconds(2));
    const std::vector<RecordedRun>& runs = cluster.workers().recordedRuns();
    ASSERT_EQ(cluster.workers().startCount(id), 1);
    const std::string worker = runs.back().worker;
    cluster.workers().restartAs(worker, { 32000, 1 << 30, 4 }, "b", absl::Milliseconds(1350));
    cluster.runFor(absl::Seconds(40));
    EXPECT_EQ(cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_NE(runs.back().worker, worker);
    EXPECT_TRUE(cluster.workers().violations().empty()) << cluster.workers().violations().front();
}

} // namespace
} // namespace mangohall::batch
