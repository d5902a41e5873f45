// What an owner achieves whose machine has a slow link.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr int workers = 60;
constexpr int jobs = 30;
constexpr int tasksPerJob = 12;
constexpr std::size_t payloadBytes = 1500;
// A link of 2 Mbit/s.
constexpr double slowLinkBytesPerSecond = 250'000;
constexpr double smallShare = 0.12;

// One node of a small machine, which owns many workers.
class SmallOwner {
public:
    explicit SmallOwner(double bytesPerSecond)
        : m_cluster(1)
    {
        m_cluster.kill(0);
        m_cluster.setProcessorShare(0, smallShare);
        m_cluster.setLinkRate(0, bytesPerSecond);
        for (int worker = 0; worker < workers; ++worker)
            m_cluster.workers().add(absl::StrCat("i-", worker), "rack", { 128000, 1 << 30, 8 });
        m_cluster.workers().setRunTime(payload(), absl::Seconds(3));
        m_cluster.start(0);
        m_cluster.runFor(absl::Seconds(8));
    }

    // Submits many jobs at once and runs the simulation until they have to be done.
    void serveBurst()
    {
        for (int job = 0; job < jobs; ++job)
            m_cluster.submit(0, pathOf(job), tasksOf(payload(), tasksPerJob, 1, absl::Seconds(3)));
        m_cluster.runFor(absl::Seconds(20));
    }

    int countOf(DecisionEffect::Kind kind) const
    {
        const std::vector<DecisionEffect>& decisions = m_cluster.decisions();
        return static_cast<int>(std::count_if(decisions.begin(), decisions.end(),
            [kind](const DecisionEffect& decision) { return decision.kind == kind; }));
    }

    int completedJobs()
    {
        int completed = 0;
        for (int job = 0; job < jobs; ++job)
            completed += m_cluster.phaseOf(pathOf(job)) == JobPhase::Completed ? 1 : 0;
        return completed;
    }

    std::vector<std::string> violations() { return m_cluster.workers().violations(); }

private:
    static std::string pathOf(int job) { return absl::StrCat("/batch/", absl::StrFormat("%016x", job + 1)); }
    static std::string payload() { return std::string(payloadBytes, 'p'); }

    BatchCluster m_cluster;
};

// Guards against LOST: an owner on a small machine sent all starts of a burst at once, the last of them timed out
// before its link had sent them, and well workers counted as silent.
TEST(OwnerLink, SendsNoMoreAtOnceThanASlowLinkCarriesInTime)
{
    SmallOwner owner(slowLinkBytesPerSecond);
    owner.serveBurst();
    EXPECT_EQ(owner.countOf(DecisionEffect::Kind::StartUnanswered), 0);
    EXPECT_EQ(owner.countOf(DecisionEffect::Kind::WorkerLost), 0);
    EXPECT_EQ(owner.completedJobs(), jobs);
    EXPECT_TRUE(owner.violations().empty());
}

// Shows that the burst alone does not cause the failure that the test above guards against.
TEST(OwnerLink, ServesTheSameBurstOnAFastLink)
{
    SmallOwner owner(slowLinkBytesPerSecond * 100);
    owner.serveBurst();
    EXPECT_EQ(owner.countOf(DecisionEffect::Kind::StartUnanswered), 0);
    EXPECT_EQ(owner.completedJobs(), jobs);
}

} // namespace
} // namespace mangohall::batch
