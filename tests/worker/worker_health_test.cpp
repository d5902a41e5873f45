#include "worker/worker_health_base.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

const ServiceName service("regdesk");

class WorkerHealthTest : public testing::Test {
protected:
    JobKey job(int index) const { return { OrganisationName("zagara"), absl::StrCat("job", index) }; }
    WorkerName worker(int index) const { return WorkerName(absl::StrCat("worker", index)); }

    // Records ten successful tasks on each of the workers 1 to 8.
    void recordPeerSuccesses()
    {
        for (int index = 1; index <= 8; ++index) {
            for (int run = 0; run < 10; ++run)
                m_health.recordSuccess(worker(index), job(index * 1000 + run), service, m_now);
        }
    }

    void recordFailuresOfDifferentJobs(const WorkerName& where, int count)
    {
        for (int run = 0; run < count; ++run)
            m_health.recordFailure(where, job(m_nextJob++), service, m_now);
    }

    WorkerHealth m_health;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
    int m_nextJob = 100000;
};

TEST_F(WorkerHealthTest, QuarantinesAWorkerWhoseTasksFailOnlyThere)
{
    recordPeerSuccesses();
    recordFailuresOfDifferentJobs(worker(0), 3);
    EXPECT_EQ(m_health.fitness(worker(0), m_now), WorkerFitness::Quarantined);
    EXPECT_EQ(m_health.fitness(worker(1), m_now), WorkerFitness::Healthy);
    EXPECT_LT(m_health.nextProbeAt(), absl::InfiniteFuture());
}

TEST_F(WorkerHealthTest, AFewFailuresAmongManySuccessesDoNotQuarantine)
{
    recordPeerSuccesses();
    recordFailuresOfDifferentJobs(worker(1), 3);
    EXPECT_EQ(m_health.fitness(worker(1), m_now), WorkerFitness::Healthy);
}

TEST_F(WorkerHealthTest, AProbeThatSucceedsEndsTheQuarantine)
{
    recordPeerSuccesses();
    recordFailuresOfDifferentJobs(worker(0), 3);
    m_now = m_health.nextProbeAt();
    EXPECT_EQ(m_health.fitness(worker(0), m_now), WorkerFitness::MayProbe);
    m_health.beginProbe(worker(0), m_now);
    EXPECT_EQ(m_health.fitness(worker(0), m_now), WorkerFitness::Probing);
    m_health.recordSuccess(worker(0), job(1), service, m_now);
    EXPECT_EQ(m_health.fitness(worker(0), m_now), WorkerFitness::Healthy);
}

TEST_F(WorkerHealthTest, AFailedProbeDoublesTheBackoff)
{
    recordPeerSuccesses();
    recordFailuresOfDifferentJobs(worker(0), 3);
    const absl::Duration first = m_health.nextProbeAt() - m_now;
    m_now = m_health.nextProbeAt();
    m_health.beginProbe(worker(0), m_now);
    recordFailuresOfDifferentJobs(worker(0), 1);
    EXPECT_EQ(m_health.nextProbeAt() - m_now, 2 * first);
}

TEST_F(WorkerHealthTest, AnAbandonedProbeMayBeRepeated)
{
    recordPeerSuccesses();
    recordFailuresOfDifferentJobs(worker(0), 3);
    m_now = m_health.nextProbeAt();
    m_health.beginProbe(worker(0), m_now);
    m_health.abandonProbe(worker(0));
    EXPECT_EQ(m_health.fitness(worker(0), m_now), WorkerFitness::MayProbe);
}

TEST_F(WorkerHealthTest, JobsThatFailEverywhereDoNotQuarantineWorkers)
{
    recordPeerSuccesses();
    for (int run = 0; run < 4; ++run) {
        for (int index = 10; index < 14; ++index)
            m_health.recordFailure(worker(index), job(run), service, m_now);
    }
    for (int index = 10; index < 14; ++index)
        EXPECT_EQ(m_health.fitness(worker(index), m_now), WorkerFitness::Healthy) << index;
}

TEST_F(WorkerHealthTest, AServiceThatFailsEverywhereDoesNotQuarantineWorkers)
{
    for (int round = 0; round < 20; ++round) {
        for (int index = 0; index < 8; ++index)
            recordFailuresOfDifferentJobs(worker(index), 1);
    }
    // A worker that is added later fails as often as all others.
    recordFailuresOfDifferentJobs(worker(9), 10);
    EXPECT_EQ(m_health.fitness(worker(9), m_now), WorkerFitness::Healthy);
}

} // namespace
} // namespace mangohall
