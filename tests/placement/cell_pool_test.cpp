#include "placement/cell_pool_base.h"

#include <set>

#include "core/error_func.h"
#include "placement/placement_fixture.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr Shape wholeWorker { 1, 8, Adjacency::SameWorker };
constexpr Shape wholeRack { 2, 8, Adjacency::SameRack };
constexpr Shape single { 1, 1, Adjacency::Anywhere };

class CellPoolTest : public testing::Test {
protected:
    // Places the request and allocates its capacity. Returns the choice, or nothing if the request does not fit.
    absl::optional<PlacementDecision> place(const PlacementRequest& request)
    {
        absl::optional<PlacementDecision> choice = m_pool.choose(request);
        if (!choice.has_value())
            return absl::nullopt;
        m_startedAt += absl::Seconds(1);
        EXPECT_TRUE(m_pool.occupy(makeOccupancy(request, *choice, m_startedAt)).ok());
        EXPECT_TRUE(m_pool.checkInvariant().ok()) << m_pool.checkInvariant();
        return choice;
    }

    void guarantee(const std::vector<Guarantee>& guarantees) { m_pool.setGuarantees(guarantees); }

    CellPool m_pool { testShard };
    absl::Time m_startedAt = absl::UnixEpoch();
};

TEST_F(CellPoolTest, KeepsWorkThatCannotBeEvictedOutOfCells)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    EXPECT_TRUE(place(makeRequest("other", "a", wholeWorker, false)).has_value());
    EXPECT_FALSE(place(makeRequest("other", "b", single, false)).has_value());
    EXPECT_TRUE(place(makeRequest("other", "c", wholeWorker, true)).has_value());
}

TEST_F(CellPoolTest, BorrowersLeaveWhenTheGuaranteeReturns)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 16, Adjacency::SameRack) });
    ASSERT_TRUE(place(makeRequest("other", "a", wholeWorker, true)).has_value());
    ASSERT_TRUE(place(makeRequest("other", "b", wholeWorker, true)).has_value());
    const absl::optional<PlacementDecision> choice = place(makeRequest("zagara", "mine", wholeRack, false));
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(choice->guarantee, GuaranteeName("zagara-room"));
    EXPECT_EQ(choice->evictions.size(), 2U);
    m_pool.vacateAll(choice->evictions[0]);
    EXPECT_FALSE(m_pool.choose(makeRequest("other", "c", single, true)).has_value());
}

TEST_F(CellPoolTest, EvictsTheOneThatHasRunLeast)
{
    addWorkers(m_pool, 1, 1);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    for (const char* key : { "a", "b", "c", "d" })
        ASSERT_TRUE(place(makeRequest("other", key, { 1, 2, Adjacency::Anywhere }, true)).has_value());
    const absl::optional<PlacementDecision> choice
        = place(makeRequest("zagara", "mine", { 1, 2, Adjacency::Anywhere }, false));
    ASSERT_TRUE(choice.has_value());
    ASSERT_EQ(choice->evictions.size(), 1U);
    EXPECT_EQ(choice->evictions[0].job.requestKey, "d");
}

TEST_F(CellPoolTest, BorrowersWithoutCheckpointsPreferCapacityOutsideCells)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    for (int job = 0; job < testAccelerators; ++job) {
        PlacementRequest request = makeRequest("other", absl::StrCat(job), single, false);
        request.spec.isIdempotent = true;
        ASSERT_TRUE(place(request).has_value());
    }
    const absl::optional<PlacementDecision> choice = place(makeRequest("zagara", "mine", wholeWorker, false));
    ASSERT_TRUE(choice.has_value());
    EXPECT_TRUE(choice->evictions.empty());
}

TEST_F(CellPoolTest, BorrowersWithCheckpointsLeaveTheRestToThoseThatCannotBeEvicted)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    for (int job = 0; job < testAccelerators; ++job)
        ASSERT_TRUE(place(makeRequest("other", absl::StrCat(job), single, true)).has_value());
    EXPECT_TRUE(place(makeRequest("other", "pinned", wholeWorker, false)).has_value());
}

TEST_F(CellPoolTest, BindsACellElsewhereWhenItsWorkerIsLost)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    const WorkerName lost = m_pool.cells()[0].pieces[0].worker;
    m_pool.removeWorker(lost);
    ASSERT_EQ(m_pool.cells()[0].pieces.size(), 1U);
    EXPECT_NE(m_pool.cells()[0].pieces[0].worker, lost);
    EXPECT_TRUE(m_pool.shortfalls().empty());
}

TEST_F(CellPoolTest, NamesTheShortfall)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 2, 8, Adjacency::SameWorker) });
    m_pool.setWorker(makeVm(0, 1), "run1", false);
    ASSERT_EQ(m_pool.shortfalls().size(), 1U);
    EXPECT_EQ(m_pool.shortfalls()[0].guarantee, GuaranteeName("zagara-room"));
    EXPECT_EQ(m_pool.shortfalls()[0].missingCells, 1);
    m_pool.setWorker(makeVm(0, 1), "run1", true);
    EXPECT_TRUE(m_pool.shortfalls().empty());
}

TEST_F(CellPoolTest, PacksSmallJobsSoThatWholeWorkersStayFree)
{
    addWorkers(m_pool, 2, 2);
    std::set<WorkerName> used;
    for (int job = 0; job < testAccelerators; ++job)
        used.insert(place(makeRequest("other", absl::StrCat(job), single, true))->placement[0].worker);
    EXPECT_EQ(used.size(), 1U);
    const Fragmentation fragmentation = m_pool.fragmentation({ wholeRack });
    EXPECT_EQ(fragmentation.idleAccelerators, 24);
    EXPECT_EQ(fragmentation.unusableAccelerators, 8);
}

TEST_F(CellPoolTest, CellMovesToAdoptedWork)
{
    addWorkers(m_pool, 1, 2);
    guarantee({ makeGuarantee("zagara", 1, 8, Adjacency::SameWorker) });
    const WorkerName bound = m_pool.cells()[0].pieces[0].worker;
    const VmEntry other = makeVm(0, bound == makeVm(0, 0).worker ? 1 : 0);
    PlacementDecision found;
    found.guarantee = GuaranteeName("zagara-room");
    found.placement = { { 0, testShard, other.worker, "run1" } };
    m_pool.adopt(makeOccupancy(makeRequest("zagara", "mine", wholeWorker, false), found, m_startedAt));
    EXPECT_EQ(m_pool.cells()[0].pieces[0].worker, other.worker);
    EXPECT_TRUE(m_pool.checkInvariant().ok());
}

TEST_F(CellPoolTest, RefusesAStaleChoice)
{
    addWorkers(m_pool, 1, 1);
    const PlacementRequest first = makeRequest("other", "a", wholeWorker, true);
    const PlacementRequest second = makeRequest("other", "b", wholeWorker, true);
    const absl::optional<PlacementDecision> stale = m_pool.choose(second);
    ASSERT_TRUE(place(first).has_value());
    EXPECT_FALSE(m_pool.occupy(makeOccupancy(second, *stale, m_startedAt)).ok());
    m_pool.vacate(first.attempt, 0);
    m_pool.setWorker(makeVm(0, 0), "run2", true);
    EXPECT_FALSE(m_pool.occupy(makeOccupancy(second, *stale, m_startedAt)).ok());
}

TEST_F(CellPoolTest, SaysWhatNeverFits)
{
    addWorkers(m_pool, 2, 2);
    EXPECT_TRUE(m_pool.testEverFits(makeRequest("other", "a", wholeRack, true)).ok());
    const Shape threeInARack { 3, 8, Adjacency::SameRack };
    EXPECT_EQ(errorKindOf(m_pool.testEverFits(makeRequest("other", "a", threeInARack, true))), ErrorKind::NeverFits);
}

} // namespace
} // namespace mangohall
