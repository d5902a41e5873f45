// What an owner achieves when its work takes processor time.
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr int racks = 10;
constexpr int workersPerRack = 8;
constexpr absl::Duration submitPeriod = absl::Milliseconds(100);
// The time after its submission by which a job that a guarantee covers has to start.
constexpr absl::Duration guaranteeBound = absl::Milliseconds(3400);

// A site that is full of batch work, with more of it waiting all the time, and two nodes that can be the owner.
class BusySite {
public:
    explicit BusySite(ProcessorCost cost)
        : m_cluster(2)
    {
        for (int node = 0; node < 2; ++node) {
            m_cluster.kill(node);
            m_cluster.setProcessorShare(node, 0.5);
            m_cluster.setProcessorCost(node, cost);
        }
        for (int worker = 0; worker < racks * workersPerRack; ++worker)
            m_cluster.workers().add(
                absl::StrCat("i-", worker), absl::StrCat("rack", worker / workersPerRack), { 128000, 1 << 30, 8 });
        m_cluster.workers().setRunTime("batch", absl::Seconds(5));
        m_cluster.workers().setRunTime("urgent", absl::Seconds(2));
        m_cluster.start(0);
        m_cluster.start(1);
        m_cluster.runFor(absl::Seconds(8));
    }

    // Runs the simulation under the site's load.
    void runFor(absl::Duration time)
    {
        const absl::Time end = m_cluster.timeline().now() + time;
        while (m_cluster.timeline().now() < end) {
            m_cluster.submit(0, absl::StrCat("/batch/", absl::StrFormat("%016x", ++m_jobs)), tasksOf("batch", 20, 1));
            m_cluster.runFor(submitPeriod);
        }
    }

    Epoch epoch() { return std::get<EpochRecord>(m_cluster.store().find({ Collection::Epoch, "" })->value).epoch; }

    // Submits an urgent gang and returns how many of its tasks have started by the bound.
    int startsOfUrgentGang(int tasks)
    {
        const std::string job = absl::StrFormat("%016x", ++m_jobs);
        m_cluster.submit(1, absl::StrCat("/urgent/", job), gangOf("urgent", tasks, 8));
        runFor(guaranteeBound);
        return m_cluster.workers().startCount(job);
    }

private:
    BatchCluster m_cluster;
    int m_jobs = 0;
};

// Guards against the RECLAIM incident: an owner that ran one costly allocation round after the other, one at each
// event, could not renew its lease, and no node owned the jobs while a guaranteed one waited.
TEST(OwnerLoad, KeepsTheOwnershipWhileAllocationTakesLong)
{
    BusySite site({ absl::Microseconds(300), absl::Milliseconds(30), absl::ZeroDuration() });
    site.runFor(absl::Seconds(5));
    const Epoch epoch = site.epoch();
    for (int round = 0; round < 4; ++round)
        EXPECT_EQ(site.startsOfUrgentGang(4), 4) << "in round " << round;
    EXPECT_EQ(site.epoch(), epoch) << "the ownership was lost";
}

// Shows that the site's load alone does not cause the failure that the test above guards against: the same site is
// served when each allocation round is cheap.
TEST(OwnerLoad, ServesTheSameSiteWithCheapAllocation)
{
    BusySite site({ absl::Microseconds(300), absl::Microseconds(300), absl::ZeroDuration() });
    site.runFor(absl::Seconds(5));
    const Epoch epoch = site.epoch();
    EXPECT_EQ(site.startsOfUrgentGang(4), 4);
    EXPECT_EQ(site.epoch(), epoch);
}

// Guards against an ownership that no node could keep: after an outage of the store, workers with runs of the backlog
// were not listed any more, and each new owner called them at an unknown address.
TEST(OwnerLoad, CallsNoUnlistedWorkerAfterTakingOverABacklog)
{
    constexpr int workers = 8;
    const std::string job = "00000000000000a1";
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(6));
    cluster.submit(0, absl::StrCat("/batch/", job), tasksOf("long", workers, 8, absl::Seconds(6)));
    cluster.runFor(absl::Seconds(2));
    ASSERT_EQ(cluster.workers().startCount(job), workers);
    const std::vector<Record> listed = cluster.store().list(Collection::Workers);
    ASSERT_EQ(listed.size(), std::size_t { workers });
    for (std::size_t index = 0; index < workers / 2; ++index)
        cluster.store().remove(listed[index].key);
    cluster.kill(cluster.owner());
    cluster.runFor(absl::Seconds(4));
    EXPECT_GE(cluster.owner(), 0);
    EXPECT_EQ(cluster.workers().unaddressedCallCount(), 0);
    for (std::size_t index = 0; index < workers / 2; ++index)
        cluster.store().put(listed[index].key, listed[index].value);
    cluster.runFor(absl::Seconds(40));
    EXPECT_EQ(cluster.phaseOf(absl::StrCat("/batch/", job)), JobPhase::Completed);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

} // namespace
} // namespace mangohall::batch
