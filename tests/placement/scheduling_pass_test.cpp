#include "placement/scheduling_pass_base.h"

#include <string>

#include "placement/placement_fixture.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// Records the keys of the placed requests and counts their evictions.
class RecordingSink : public PlacementSink {
public:
    void placed(const WaitingRequest& waiting, const PlacementDecision& choice) override
    {
        m_keys.push_back(waiting.request.attempt.job.requestKey);
        m_evictions += choice.evictions.size();
    }

    std::vector<std::string> m_keys;
    std::size_t m_evictions = 0;
};

class SchedulingPassTest : public testing::Test {
protected:
    SchedulingPassTest() { addWorkers(*m_pool, 1, 2); }

    void push(absl::string_view organisation, absl::string_view key, Shape shape, absl::Duration runTime)
    {
        WaitingRequest waiting;
        waiting.request = makeRequest(organisation, key, shape, true);
        waiting.acceptedAt = m_now;
        waiting.expectedRunTime = runTime;
        waiting.isGuaranteed = fitsInGuarantee(waiting.request, testShard, m_guarantees);
        ASSERT_TRUE(m_queue->push(waiting).ok());
    }

    // Runs one pass. Returns the keys of the requests that it placed.
    std::vector<std::string> run()
    {
        m_sink.m_keys.clear();
        SchedulingPass(*m_queue, *m_pool, m_policy, m_sink).run(m_now);
        return m_sink.m_keys;
    }

    std::unique_ptr<WaitingQueue> m_queue = makeFairQueue();
    std::unique_ptr<PlacementPool> m_pool = makeCellPool(testShard);
    std::vector<Guarantee> m_guarantees;
    Policy m_policy;
    RecordingSink m_sink;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
};

constexpr Shape half { 1, 4, Adjacency::SameWorker };
constexpr Shape rack { 2, 8, Adjacency::SameRack };

// Guards against starvation: small requests that always fit could otherwise overtake a large one for ever.
TEST_F(SchedulingPassTest, ReservationKeepsALargeShapeFromStarving)
{
    push("a", "first", half, absl::Minutes(10));
    EXPECT_EQ(run(), (std::vector<std::string> { "first" }));
    push("b", "large", rack, absl::Minutes(10));
    EXPECT_TRUE(run().empty());
    m_now += absl::Minutes(2);
    EXPECT_TRUE(run().empty());
    EXPECT_EQ(m_pool->reservations().size(), 1U);
    // The large request may start in 8 minutes. A request that ends before then may overtake it, a longer one may not.
    push("c", "short", half, absl::Minutes(5));
    push("c", "long", half, absl::Minutes(30));
    EXPECT_EQ(run(), (std::vector<std::string> { "short" }));
    m_pool->vacateAll(makeRequest("a", "first", half, true).attempt);
    m_pool->vacateAll(makeRequest("c", "short", half, true).attempt);
    EXPECT_EQ(run(), (std::vector<std::string> { "large" }));
    EXPECT_TRUE(m_pool->reservations().empty());
}

TEST_F(SchedulingPassTest, ForgetsTheReservationOfWhatIsCancelled)
{
    push("a", "first", half, absl::Minutes(10));
    push("b", "large", rack, absl::Minutes(10));
    run();
    m_now += absl::Minutes(2);
    run();
    ASSERT_EQ(m_pool->reservations().size(), 1U);
    m_queue->remove(makeRequest("b", "large", rack, true).attempt);
    run();
    EXPECT_TRUE(m_pool->reservations().empty());
}

TEST_F(SchedulingPassTest, GuaranteedDemandIsServedBeforeABorrower)
{
    m_guarantees = { makeGuarantee("zagara", 1, 16, Adjacency::SameRack) };
    m_pool->setGuarantees(m_guarantees);
    push("guest", "borrower", half, absl::Minutes(10));
    push("zagara", "mine", rack, absl::Minutes(10));
    EXPECT_EQ(run(), (std::vector<std::string> { "mine" }));
}

TEST_F(SchedulingPassTest, HoldsTheQuota)
{
    Organisation organisation;
    organisation.name = OrganisationName("a");
    organisation.maxAccelerators = 6;
    m_queue->setOrganisations({ &organisation, 1 });
    push("a", "1", half, absl::Minutes(10));
    push("a", "2", half, absl::Minutes(10));
    push("b", "3", half, absl::Minutes(10));
    EXPECT_EQ(run().size(), 2U);
    EXPECT_EQ(m_pool->heldAccelerators(OrganisationName("a")), 4);
}

} // namespace
} // namespace mangohall
