// Renewals of a lease that get no reply and are executed seconds later, by a later process of their worker.
#include <string>
#include <tuple>

#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string path = "/urgent/00000000000000a1";
const std::string id = "00000000000000a1";

// When the renewal is executed after it was sent, in milliseconds; how long the worker is away before, in milliseconds;
// whether all nodes are killed when the worker is cut off.
class RenewalThatOutlivesItsProcess : public testing::TestWithParam<std::tuple<int, int, bool>> {
protected:
    RenewalThatOutlivesItsProcess()
    {
        m_cluster.workers().setRunTime("longest", absl::Seconds(45));
        m_cluster.workers().setRunTime("filler", absl::Seconds(8));
        // The process has been up for so long that a time on its clock lies far ahead on that of the next one.
        m_cluster.runFor(absl::Seconds(60));
    }

    // Starts the task; its worker gets a renewal without a reply, is away for a while and starts the task again.
    void startAgainAfterARenewal()
    {
        m_cluster.submit(0, path, tasksOf("longest", 1, 8, absl::Seconds(45)));
        m_cluster.runFor(absl::Milliseconds(500));
        ASSERT_EQ(m_cluster.workers().recordedRuns().size(), 1U);
        m_worker = m_cluster.workers().recordedRuns().front().worker;
        // No other worker is free when the task is started again.
        m_cluster.submit(0, "/urgent/00000000000000b1", tasksOf("filler", 7, 8, absl::Seconds(8)));
        m_cluster.workers().keepNextRenewal(m_worker);
        m_cluster.runFor(absl::Seconds(1));
        ASSERT_TRUE(m_cluster.workers().hasKeptRenewal());
        m_sentAt = m_cluster.timeline().now();
        const absl::Duration away = absl::Milliseconds(std::get<1>(GetParam()));
        if (away > absl::ZeroDuration()) {
            m_cluster.workers().setPartitioned(m_worker, true);
            m_cluster.runFor(away);
        }
        m_cluster.workers().losePower(m_worker, absl::ZeroDuration());
        if (away > absl::ZeroDuration())
            m_cluster.workers().setPartitioned(m_worker, false);
        m_cluster.runFor(absl::Seconds(3));
        ASSERT_EQ(m_cluster.workers().startCount(id), 2);
        ASSERT_EQ(m_cluster.workers().recordedRuns().back().worker, m_worker);
    }

    void cutOff()
    {
        m_cluster.workers().setPartitioned(m_worker, true);
        if (!std::get<2>(GetParam()))
            return;
        for (int node = 0; node < 3; ++node)
            m_cluster.kill(node);
        for (int node = 0; node < 3; ++node)
            m_cluster.start(node);
    }

    // The renewal is executed behind the cut, and the cut is healed after `cutTime`.
    void executeLate(absl::Duration cutTime)
    {
        const absl::Time cutAt = m_cluster.timeline().now();
        m_cluster.runFor(m_sentAt + absl::Milliseconds(std::get<0>(GetParam())) - cutAt);
        m_cluster.workers().executeKeptRenewal();
        m_cluster.runFor(cutAt + cutTime - m_cluster.timeline().now());
        m_cluster.workers().setPartitioned(m_worker, false);
    }

    void expectNoViolation()
    {
        const std::vector<std::string> violations = m_cluster.workers().violations();
        EXPECT_TRUE(violations.empty()) << violations.front();
    }

    BatchCluster m_cluster;
    std::string m_worker;
    absl::Time m_sentAt;
};

// Guards against TWICE: the run went on behind the cut with the lease of the late renewal, while the task was started
// elsewhere.
TEST_P(RenewalThatOutlivesItsProcess, RunsNoTaskTwice)
{
    startAgainAfterARenewal();
    cutOff();
    executeLate(absl::Seconds(40));
    m_cluster.runFor(absl::Seconds(60));
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

// Guards against TWICE: the run was done behind the cut, and its end was acknowledged after the task had been started
// elsewhere.
TEST_P(RenewalThatOutlivesItsProcess, StartsNothingAgainThatIsDoneBehindACut)
{
    m_cluster.workers().setRunTime("longest", absl::Seconds(16));
    startAgainAfterARenewal();
    cutOff();
    executeLate(absl::Seconds(22));
    m_cluster.runFor(absl::Seconds(60));
    EXPECT_EQ(m_cluster.phaseOf(path), JobPhase::Completed);
    expectNoViolation();
}

INSTANTIATE_TEST_SUITE_P(Delays, RenewalThatOutlivesItsProcess,
    testing::Combine(testing::Values(10000, 11900), testing::Values(0, 5500), testing::Bool()));

} // namespace
} // namespace mangohall::batch
