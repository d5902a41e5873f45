// Data centres that operators evacuate: no owner starts a run there, whatever happens to it or to the store meanwhile.
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {

namespace {

constexpr auto path = "/batch/00000000000000a1";
constexpr auto id = "00000000000000a1";
constexpr auto otherPath = "/batch/00000000000000a2";
// The longest time from a request until every node follows it while the store replies.
constexpr absl::Duration followTime = absl::Milliseconds(200);

// A cluster whose workers w00 to w03 are in the data centre "north", and w10 to w13 in "south".
class BatchEvacuation : public ::testing::Test {
protected:
    BatchEvacuation()
    {
        for (int worker = 0; worker < 4; ++worker) {
            m_cluster.workers().setDataCentre("w0" + std::to_string(worker), "north");
            m_cluster.workers().setDataCentre("w1" + std::to_string(worker), "south");
        }
        m_cluster.runFor(followTime);
    }

    void evacuate(const std::string& dataCentre, bool isEvacuated = true)
    {
        m_cluster.setEvacuated(dataCentre, isEvacuated);
        m_cluster.runFor(followTime);
    }

    // The number of runs that have begun on workers of the data centre from this time on.
    int startsIn(absl::string_view dataCentre, absl::Time from)
    {
        const std::string prefix = dataCentre == "north" ? "w0" : "w1";
        int count = 0;
        for (const RecordedRun& run : runs()) {
            if (run.begin >= from && run.worker.substr(0, 2) == prefix)
                ++count;
        }
        return count;
    }

    absl::Time now() { return m_cluster.timeline().now(); }

    void expectNoViolation()
    {
        EXPECT_TRUE(m_cluster.workers().violations().empty()) << m_cluster.workers().violations().front();
    }

    const std::vector<RecordedRun>& runs() { return m_cluster.workers().recordedRuns(); }

    BatchCluster m_cluster;
};

TEST_F(BatchEvacuation, StartsNothingInAnEvacuatedDataCentreAndLetsItsRunsGoOn)
{
    m_cluster.workers().setRunTime("long", absl::Seconds(6));
    m_cluster.submit(0, path, tasksOf("long", 8, 8, absl::Seconds(6)));
    m_cluster.runFor(absl::Seconds(1));
    ASSERT_EQ(startsIn("north", absl::InfinitePast()), 4);
    evacuate("north");
    const absl::Time evacuatedAt = now();
    m_cluster.submit(0, otherPath, tasksOf("p", 8, 8));
    m_cluster.runFor(absl::Seconds(14));
    EXPECT_EQ(startsIn("north", evacuatedAt), 0);
    EXPECT_EQ(m_cluster.workers().startCount(id), 8);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    EXPECT_EQ(m_cluster.phaseOf(otherPath), JobPhase::Completed);
    expectNoViolation();
}

TEST_F(BatchEvacuation, FollowsSeveralRequestsAndTheirWithdrawal)
{
    evacuate("north");
    evacuate("south");
    m_cluster.submit(0, path, tasksOf("p", 4, 8));
    m_cluster.runFor(absl::Seconds(3));
    EXPECT_TRUE(runs().empty());
    evacuate("south", false);
    m_cluster.runFor(absl::Seconds(4));
    EXPECT_EQ(startsIn("north", absl::InfinitePast()), 0);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    evacuate("north", false);
    const absl::Time withdrawnAt = now();
    m_cluster.submit(0, otherPath, tasksOf("p", 8, 8));
    m_cluster.runFor(absl::Seconds(4));
    EXPECT_EQ(startsIn("north", withdrawnAt), 4);
    evacuate("north");
    const absl::Time evacuatedAt = now();
    m_cluster.submit(0, "/batch/00000000000000a3", tasksOf("p", 8, 8));
    m_cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(startsIn("north", evacuatedAt), 0);
    expectNoViolation();
}

// Guards against a start after the request: the placement of a gang was being written when the request came, and its
// members elsewhere must not wait for those that are not started.
TEST_F(BatchEvacuation, PlacesAnewAGangWhoseStartsWereNotSent)
{
    m_cluster.store().afterNextCommit(Collection::Progress, [this] { m_cluster.setEvacuated("north", true); });
    m_cluster.submit(0, path, gangOf("p", 4, 8));
    m_cluster.runFor(absl::Seconds(1));
    const absl::Time followedAt = now();
    m_cluster.runFor(absl::Seconds(8));
    EXPECT_EQ(startsIn("north", followedAt), 0);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against a repeated start: the only sending got no response when the request came.
TEST_F(BatchEvacuation, RepeatsNoUnansweredStart)
{
    evacuate("south");
    m_cluster.workers().setCutOff("w00", true);
    m_cluster.workers().setCutOff("w01", true);
    m_cluster.workers().setCutOff("w02", true);
    m_cluster.workers().setCutOff("w03", true);
    m_cluster.submit(0, path, tasksOf("p", 4, 8));
    m_cluster.runFor(absl::Milliseconds(300));
    evacuate("south", false);
    evacuate("north");
    m_cluster.workers().reconnectAll();
    m_cluster.runFor(absl::Seconds(25));
    EXPECT_EQ(startsIn("north", absl::InfinitePast()), 0);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against an owner that begins with no evacuations: it takes the ownership in the middle of one.
TEST_F(BatchEvacuation, ANewOwnerStartsNothingThere)
{
    evacuate("north");
    const absl::Time evacuatedAt = now();
    m_cluster.submit(0, path, tasksOf("p", 12, 8));
    m_cluster.runFor(absl::Milliseconds(500));
    m_cluster.kill(m_cluster.owner());
    m_cluster.runFor(absl::Seconds(6));
    ASSERT_NE(m_cluster.owner(), -1);
    for (int node = 0; node < 3; ++node) {
        if (node != m_cluster.owner())
            m_cluster.start(node);
    }
    m_cluster.kill(m_cluster.owner());
    m_cluster.runFor(absl::Seconds(20));
    EXPECT_EQ(startsIn("north", evacuatedAt), 0);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against starts by what was true seconds before: the store confirms the list of workers but not the requests.
TEST_F(BatchEvacuation, StartsNothingWhileTheRequestsAreNotConfirmed)
{
    for (int node = 0; node < 3; ++node)
        m_cluster.kill(node);
    m_cluster.setMaxEvacuationAge(absl::Seconds(4));
    for (int node = 0; node < 3; ++node)
        m_cluster.start(node);
    m_cluster.runFor(absl::Seconds(6));
    m_cluster.workers().setRunTime("long", absl::Seconds(7));
    m_cluster.submit(0, path, tasksOf("long", 16, 8, absl::Seconds(7)));
    m_cluster.runFor(absl::Milliseconds(500));
    ASSERT_EQ(runs().size(), 8U);
    m_cluster.store().setWatchDelay(Collection::Manifest, absl::Seconds(30));
    m_cluster.runFor(absl::Seconds(2));
    evacuate("north");
    m_cluster.runFor(absl::Seconds(10));
    EXPECT_EQ(runs().size(), 8U);
    m_cluster.store().setWatchDelay(Collection::Manifest, absl::ZeroDuration());
    m_cluster.runFor(absl::Seconds(24));
    EXPECT_EQ(startsIn("north", absl::InfinitePast()), 4);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against an evacuation that is forgotten while the store does not reply, with a start that gets no response.
TEST_F(BatchEvacuation, HoldsWhileTheStoreIsSilent)
{
    evacuate("north");
    const absl::Time evacuatedAt = now();
    m_cluster.workers().setLateCommands(0.3);
    m_cluster.submit(0, path, tasksOf("p", 12, 8));
    m_cluster.runFor(absl::Milliseconds(300));
    m_cluster.store().setOut(true, true);
    m_cluster.runFor(absl::Seconds(5));
    m_cluster.store().setOut(false);
    m_cluster.runFor(absl::Seconds(10));
    m_cluster.workers().setLateCommands(0);
    m_cluster.runFor(absl::Seconds(40));
    EXPECT_EQ(startsIn("north", evacuatedAt), 0);
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

} // namespace

} // namespace mangohall::batch
