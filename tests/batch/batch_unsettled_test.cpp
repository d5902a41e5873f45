// Runs of which nobody knows whether they have started, on workers that do not reply, while owners change.
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {

namespace {

constexpr auto path = "/batch/00000000000000a1";
constexpr auto id = "00000000000000a1";
constexpr int nodeCount = 3;
// The longest time for which an unanswered start is unsettled on a silent worker: its call, the time within which it is
// executed or never, and the longest lease that it grants.
constexpr absl::Duration longestUnsettled = absl::Milliseconds(800 + 12500 + 10550);
// The difference between the clocks of two nodes that an owner allows for.
constexpr absl::Duration clockAllowance = absl::Seconds(5);

class BatchUnsettled : public ::testing::Test {
protected:
    // Cuts four of the eight workers off for good, and submits a task for each of the eight.
    void leaveStartsUnanswered()
    {
        for (int worker = 0; worker < 4; ++worker)
            m_cluster.workers().setPartitioned("w0" + std::to_string(worker), true);
        m_cluster.submit(0, path, tasksOf("p", 8, 8));
        m_cluster.runFor(absl::Seconds(3));
        ASSERT_EQ(m_cluster.workers().startCount(id), 4);
    }

    void killAll()
    {
        for (int node = 0; node < nodeCount; ++node)
            m_cluster.kill(node);
    }

    void startAll()
    {
        for (int node = 0; node < nodeCount; ++node)
            m_cluster.start(node);
    }

    void expectNoViolation()
    {
        EXPECT_TRUE(m_cluster.workers().violations().empty()) << m_cluster.workers().violations().front();
    }

    BatchCluster m_cluster { nodeCount };
};

// Guards against a wait that each owner begins anew: the runs are over by the record of the first owner when the next
// one begins.
TEST_F(BatchUnsettled, TheNextOwnerDoesNotBeginTheWaitAnew)
{
    leaveStartsUnanswered();
    m_cluster.runFor(absl::Seconds(12));
    killAll();
    m_cluster.runFor(longestUnsettled + clockAllowance - absl::Seconds(15));
    ASSERT_EQ(m_cluster.workers().startCount(id), 4);
    startAll();
    m_cluster.runFor(absl::Seconds(8));
    EXPECT_EQ(m_cluster.workers().startCount(id), 8);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// The same while owners change again and again, sooner than any of them could end the wait by itself.
TEST_F(BatchUnsettled, ManyOwnersInTurnDoNotHoldUpAJob)
{
    leaveStartsUnanswered();
    for (int change = 0; change < 4; ++change) {
        m_cluster.runFor(absl::Seconds(8));
        killAll();
        startAll();
    }
    m_cluster.runFor(absl::Seconds(8));
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// The same if the first owner had no time to record anything, and the second one never calls the workers, as their
// entries are gone.
TEST_F(BatchUnsettled, AnOwnerRecordsTheEndsOfRunsOnWorkersWithoutAnEntry)
{
    for (int worker = 0; worker < 4; ++worker)
        m_cluster.workers().setPartitioned("w0" + std::to_string(worker), true);
    m_cluster.submit(0, path, tasksOf("p", 8, 8));
    m_cluster.runFor(absl::Milliseconds(300));
    killAll();
    m_cluster.runFor(absl::Seconds(6));
    startAll();
    m_cluster.runFor(absl::Seconds(20));
    killAll();
    m_cluster.runFor(longestUnsettled + clockAllowance - absl::Seconds(16));
    startAll();
    m_cluster.runFor(absl::Seconds(8));
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against LOST: a start on a worker that has begun anew and replies is waited for anew by each owner that
// follows. It may come until a fixed time after its last sending.
TEST_F(BatchUnsettled, NoOwnerMovesTheEndOfADoubtOnAWorkerThatReplies)
{
    constexpr absl::Duration longestDoubt = absl::Milliseconds(800 + 12500);
    constexpr absl::Duration untilPlaced = absl::Milliseconds(1500);
    for (int worker = 0; worker < 4; ++worker)
        m_cluster.workers().setCutOff("w0" + std::to_string(worker), true);
    m_cluster.submit(0, path, tasksOf("p", 8, 8));
    const absl::Time submittedAt = m_cluster.timeline().now();
    m_cluster.runFor(absl::Milliseconds(300));
    killAll();
    m_cluster.workers().reconnectAll();
    for (int worker = 0; worker < 4; ++worker)
        m_cluster.workers().restart("w0" + std::to_string(worker));
    startAll();
    m_cluster.runFor(absl::Seconds(9));
    killAll();
    startAll();
    m_cluster.runFor(submittedAt + longestDoubt + clockAllowance + untilPlaced - m_cluster.timeline().now());
    EXPECT_EQ(m_cluster.workers().startCount(id), 8);
    expectNoViolation();
}

// Guards against LOST (review/12): a worker that has just begun leaves as planned while the owner is killed. Nothing of
// an owner before that one can lengthen its run any more, as its process has seen that one's epoch.
TEST_F(BatchUnsettled, ARunOnAYoungWorkerThatLeavesBesideAChangeOfOwnerStartsAgainInTime)
{
    constexpr absl::Duration longestIdleTime = absl::Seconds(14);
    m_cluster.workers().setRunTime("long", absl::Seconds(60));
    m_cluster.workers().restart("w00");
    m_cluster.runFor(absl::Seconds(1));
    m_cluster.submit(0, path, tasksOf("long", 8, 8, absl::Seconds(60)));
    m_cluster.runFor(absl::Seconds(1));
    ASSERT_EQ(m_cluster.workers().startCount(id), 8);
    m_cluster.workers().add("spare", "r0", { 128000, 1 << 30, 8 });
    m_cluster.workers().drain("w00", absl::Milliseconds(1500));
    m_cluster.runFor(absl::Milliseconds(100));
    m_cluster.kill(m_cluster.owner());
    m_cluster.runFor(absl::Milliseconds(1400) + longestIdleTime);
    EXPECT_EQ(m_cluster.workers().startCount(id), 9);
    expectNoViolation();
}

// Guards against a second run of a task: the worker has executed the start, replies again after its end was recorded,
// has its lease renewed, and is silent once more when the next owner reads the record.
TEST_F(BatchUnsettled, ARecordedEndIsWithdrawnBeforeALeaseIsRenewed)
{
    m_cluster.workers().setRunTime("longest", absl::Seconds(300));
    m_cluster.workers().setLostReplies(1);
    m_cluster.submit(0, path, tasksOf("longest", 8, 8, absl::Seconds(300)));
    m_cluster.runFor(absl::Milliseconds(500));
    m_cluster.workers().setLostReplies(0);
    for (int worker = 0; worker < 4; ++worker)
        m_cluster.workers().setCutOff("w0" + std::to_string(worker), true);
    m_cluster.runFor(absl::Seconds(3));
    m_cluster.workers().reconnectAll();
    m_cluster.runFor(absl::Seconds(2));
    for (int change = 0; change < 6; ++change) {
        for (int worker = 0; worker < 4; ++worker)
            m_cluster.workers().setCutOff("w0" + std::to_string(worker), change % 2 == 0);
        m_cluster.runFor(absl::Seconds(5));
        m_cluster.kill(m_cluster.owner());
        m_cluster.runFor(absl::Seconds(1));
        startAll();
        expectNoViolation();
    }
    m_cluster.workers().reconnectAll();
    m_cluster.runFor(absl::Seconds(60));
    expectNoViolation();
}

} // namespace

} // namespace mangohall::batch
