// How the ownership goes from a small machine to a larger one.
#include <algorithm>

#include "absl/strings/str_format.h"
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr double smallShare = 0.12;
constexpr double largeShare = 0.5;
constexpr int smallNode = 0;
constexpr int largeNode = 1;
// The time within which the ownership has to be at the larger machine.
constexpr absl::Duration successionTime = absl::Seconds(3);

std::string pathOf(int job)
{
    return absl::StrFormat("/batch/%016x", job);
}

// A small node that owns all workers; the larger one is not there yet.
class OwnerSuccession : public testing::Test {
protected:
    OwnerSuccession()
    {
        m_cluster.kill(smallNode);
        m_cluster.kill(largeNode);
        m_cluster.setProcessorShare(smallNode, smallShare);
        m_cluster.setProcessorShare(largeNode, largeShare);
        m_cluster.workers().setRunTime("long", absl::Seconds(6));
        m_cluster.start(smallNode);
        m_cluster.runFor(absl::Seconds(6));
    }

    // How often a node has become the owner since the start.
    std::ptrdiff_t countTakings() const
    {
        const std::vector<DecisionEffect>& all = m_cluster.decisions();
        return std::count_if(all.begin(), all.end(),
            [](const DecisionEffect& decision) { return decision.kind == DecisionEffect::Kind::OwnershipTaken; });
    }

    BatchCluster m_cluster { 2 };
};

// Guards against LOST: a small machine that had become the owner by chance stayed it for the rest of the day.
TEST_F(OwnerSuccession, GoesToALargerMachineWithinSecondsAndStaysThere)
{
    ASSERT_EQ(m_cluster.owner(), smallNode);
    m_cluster.submit(smallNode, pathOf(1), tasksOf("long", 6, 8, absl::Seconds(6)));
    m_cluster.runFor(absl::Seconds(1));
    const std::ptrdiff_t before = countTakings();
    m_cluster.start(largeNode);
    m_cluster.runFor(successionTime);
    EXPECT_EQ(m_cluster.owner(), largeNode);
    m_cluster.submit(smallNode, pathOf(2), tasksOf("short", 4, 1));
    m_cluster.runFor(absl::Seconds(30));
    EXPECT_EQ(m_cluster.owner(), largeNode);
    EXPECT_EQ(countTakings(), before + 1);
    // Nothing was in doubt at the change, so that no run was started twice or waited for.
    EXPECT_EQ(m_cluster.workers().startCount(pathOf(1).substr(7)), 6);
    EXPECT_EQ(m_cluster.phaseOf(pathOf(1)), JobPhase::Completed);
    EXPECT_EQ(m_cluster.phaseOf(pathOf(2)), JobPhase::Completed);
    EXPECT_TRUE(m_cluster.workers().violations().empty());
    EXPECT_EQ(m_cluster.store().find({ Collection::Candidate, "" }), nullptr) << "the request was not withdrawn";
}

TEST_F(OwnerSuccession, GoesBackToTheSmallMachineIfTheLargeOneEnds)
{
    m_cluster.start(largeNode);
    m_cluster.runFor(successionTime);
    ASSERT_EQ(m_cluster.owner(), largeNode);
    m_cluster.kill(largeNode);
    m_cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(m_cluster.owner(), smallNode);
    m_cluster.submit(smallNode, pathOf(1), tasksOf("short", 4, 1));
    m_cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(m_cluster.phaseOf(pathOf(1)), JobPhase::Completed);
}

// A node that asks and ends before it has the ownership leaves the jobs without an owner for seconds only.
TEST_F(OwnerSuccession, SurvivesTheEndOfTheNodeThatAsks)
{
    m_cluster.start(largeNode);
    while (m_cluster.store().find({ Collection::Candidate, "" }) == nullptr)
        m_cluster.runFor(absl::Milliseconds(1));
    m_cluster.kill(largeNode);
    m_cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(m_cluster.owner(), smallNode);
}

// Guards against an ownership that each small machine gives up at once, for a node that has asked an earlier owner and
// does not claim it.
TEST_F(OwnerSuccession, IsNotGivenUpForARequestToAnEarlierOwner)
{
    const std::ptrdiff_t before = countTakings();
    m_cluster.store().put({ Collection::Candidate, "" }, CandidateRecord { NodeName("node-9"), largeShare, 0 });
    m_cluster.runFor(absl::Seconds(10));
    EXPECT_EQ(m_cluster.owner(), smallNode);
    EXPECT_EQ(countTakings(), before);
}

TEST(OwnerSuccessionOfEquals, IsNotAskedForByANodeOfTheSameSize)
{
    BatchCluster cluster(1);
    cluster.kill(0);
    cluster.setProcessorShare(0, smallShare);
    cluster.setProcessorShare(1, smallShare);
    cluster.start(0);
    cluster.runFor(absl::Seconds(6));
    cluster.start(1);
    cluster.runFor(absl::Seconds(10));
    EXPECT_EQ(cluster.owner(), 0);
}

} // namespace
} // namespace mangohall::batch
