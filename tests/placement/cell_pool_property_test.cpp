// Tests the guarantee invariant of the cell pool under random changes.
#include <cstdlib>
#include <map>

#include "gtest/gtest.h"

#include "placement/cell_pool_base.h"
#include "placement/placement_fixture.h"
#include "rapidcheck/gtest.h"

namespace mangohall {
namespace {

// RapidCheck reads its seed from this variable before the first property. A value that is set already takes precedence.
const int seedIsSet = setenv("RC_PARAMS", "seed=7 max_success=300", 0);

constexpr int racks = 3;
constexpr int workersPerRack = 3;

// A faulty pool that lets non-evictable work into cells.
class FaultyPool : public CellPool {
public:
    using CellPool::CellPool;

protected:
    absl::Status testCapacity(const Occupancy& occupancy, const WorkerUsage& worker, std::int32_t tasks) const override
    {
        Occupancy asBorrower = occupancy;
        asBorrower.isEvictable = true;
        return CellPool::testCapacity(asBorrower, worker, tasks);
    }
};

// Applies random changes to a pool.
class PoolDriver {
public:
    explicit PoolDriver(CellPool& pool)
        : m_pool(pool)
    {
        addWorkers(m_pool, racks, workersPerRack);
    }

    void step()
    {
        switch (below(8)) {
        case 0:
            setGuarantees();
            break;
        case 1:
            m_pool.setWorker(pickVm(), "run1", below(3) > 0);
            break;
        case 2:
            loseWorker();
            break;
        case 3:
        case 4:
            vacate();
            break;
        default:
            occupy();
            break;
        }
    }

private:
    static int below(int bound) { return *rc::gen::inRange(0, bound); }
    static VmEntry pickVm() { return makeVm(below(racks), below(workersPerRack)); }
    static std::string pickOrganisation() { return absl::StrCat("organisation", below(4)); }

    void setGuarantees()
    {
        std::vector<Guarantee> guarantees;
        const int owners = below(4);
        for (int owner = 0; owner < owners; ++owner) {
            const Adjacency adjacency = static_cast<Adjacency>(below(4));
            const int largest = adjacency == Adjacency::SameWorker ? testAccelerators : 3 * testAccelerators;
            guarantees.push_back(
                makeGuarantee(absl::StrCat("organisation", owner), 1 + below(3), 1 + below(largest), adjacency));
        }
        m_pool.setGuarantees(guarantees);
    }

    void loseWorker()
    {
        const WorkerName lost = pickVm().worker;
        m_pool.removeWorker(lost);
    }

    void vacate()
    {
        if (m_held.empty())
            return;
        const auto held = std::next(m_held.begin(), below(static_cast<int>(m_held.size())));
        if (below(2) == 0)
            m_pool.vacateAll(held->first);
        else
            m_pool.vacate(held->first, below(held->second));
        if (!m_pool.ledger().attempts().contains(held->first))
            m_held.erase(held);
    }

    void occupy()
    {
        const Shape shape { 1 + below(6), below(testAccelerators + 1), static_cast<Adjacency>(below(4)) };
        const bool isEvictable = below(2) == 0;
        const PlacementRequest request
            = makeRequest(pickOrganisation(), absl::StrCat("job", m_nextJob++), shape, isEvictable);
        const absl::optional<PlacementDecision> choice = m_pool.choose(request);
        if (!choice.has_value())
            return;
        const absl::Time startedAt = absl::UnixEpoch() + absl::Seconds(m_nextJob);
        RC_ASSERT(m_pool.occupy(makeOccupancy(request, *choice, startedAt)).ok());
        for (const AttemptId& attempt : choice->evictions) {
            m_pool.vacateAll(attempt);
            m_held.erase(attempt);
        }
        m_held[request.attempt] = shape.tasks;
        assertNoWorkerIsOvercommitted();
    }

    // After the evicted attempts have left, no worker uses more accelerators than it has.
    void assertNoWorkerIsOvercommitted() const
    {
        for (const auto& [name, worker] : m_pool.ledger().workers())
            RC_ASSERT(worker.used.accelerators <= worker.vm.capacity.accelerators);
    }

    CellPool& m_pool;
    // Number of tasks by attempt, for attempts that may hold capacity.
    std::map<AttemptId, int> m_held;
    int m_nextJob = 0;
};

RC_GTEST_PROP(CellPoolProperty, GuaranteeInvariantHoldsUnderRandomChanges, ())
{
    CellPool pool(testShard);
    PoolDriver driver(pool);
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        driver.step();
        const absl::Status status = pool.checkInvariant();
        RC_ASSERT(status.ok());
    }
}

RC_GTEST_PROP(CellPoolProperty, GuaranteedRequestFitsWhenItsOrganisationReturns, ())
{
    CellPool pool(testShard);
    PoolDriver driver(pool);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
        driver.step();
    // Declare a new guarantee, fill the shard with borrowers, then let the organisation of the guarantee return.
    const Guarantee guarantee = makeGuarantee("returning", 1, 2 * testAccelerators, Adjacency::SameRack);
    pool.setGuarantees({ &guarantee, 1 });
    for (int job = 0; job < racks * workersPerRack * testAccelerators; ++job) {
        const PlacementRequest borrower
            = makeRequest("guest", absl::StrCat("borrower", job), { 1, 1, Adjacency::Anywhere }, true);
        const absl::optional<PlacementDecision> choice = pool.choose(borrower);
        if (!choice.has_value())
            break;
        RC_ASSERT(pool.occupy(makeOccupancy(borrower, *choice, absl::UnixEpoch())).ok());
    }
    const PlacementRequest request = makeRequest("returning", "whole", { 2, 8, Adjacency::SameRack }, false);
    const absl::optional<PlacementDecision> choice = pool.choose(request);
    RC_ASSERT(pool.shortfalls().empty() == (choice.has_value() && !choice->guarantee.empty()));
}

// Guards against an invariant check that passes in any case: it must fail for a pool that does not keep cells free.
TEST(CellPoolProperty, InvariantCheckDetectsAViolation)
{
    ASSERT_EQ(seedIsSet, 0);
    FaultyPool pool(testShard);
    addWorkers(pool, 1, 1);
    const Guarantee guarantee = makeGuarantee("zagara", 1, 8, Adjacency::SameWorker);
    pool.setGuarantees({ &guarantee, 1 });
    ASSERT_TRUE(pool.checkInvariant().ok());
    const PlacementRequest nonEvictable = makeRequest("guest", "pinned", { 1, 1, Adjacency::Anywhere }, false);
    ASSERT_FALSE(pool.choose(nonEvictable).has_value());
    PlacementDecision forced;
    forced.placement = { { 0, testShard, makeVm(0, 0).worker, "run1" } };
    ASSERT_TRUE(pool.occupy(makeOccupancy(nonEvictable, forced, absl::UnixEpoch())).ok());
    EXPECT_FALSE(pool.checkInvariant().ok());
}

} // namespace
} // namespace mangohall
