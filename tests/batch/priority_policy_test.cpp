#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

// Racks of workers with 8 accelerators each.
std::vector<WorkerRoom> makeRooms(int racks, int workers)
{
    std::vector<WorkerRoom> rooms;
    for (int rack = 0; rack < racks; ++rack) {
        for (int worker = 0; worker < workers; ++worker) {
            WorkerRoom room;
            room.worker = WorkerName(absl::StrCat("w", rack, worker));
            room.rack = RackName(absl::StrCat("r", rack));
            room.free = { 128000, 1 << 30, 8 };
            room.freeAfterStops = room.free;
            rooms.push_back(room);
        }
    }
    return rooms;
}

void occupy(WorkerRoom& room, const std::string& job, int accelerators, double stopCost, int priority = 2)
{
    Occupant occupant;
    occupant.run.task.job = JobId(job);
    occupant.run.task.task.index = static_cast<std::int32_t>(room.occupants.size());
    occupant.demand = { 1000, 1, accelerators };
    occupant.priority = priority;
    occupant.mayBeEvicted = true;
    occupant.stopCost = stopCost;
    room.free -= occupant.demand;
    room.freeAfterStops -= occupant.demand;
    room.occupants.push_back(occupant);
}

StepSpec specOf(int tasks, int accelerators)
{
    StepSpec spec;
    spec.taskCount = tasks;
    spec.demand = { 1000, 1, accelerators };
    spec.estimate = absl::Seconds(4);
    return spec;
}

StepDemand demandOf(const std::string& job, const StepSpec& spec, int priority)
{
    StepDemand demand;
    demand.job = JobId(job);
    demand.spec = &spec;
    demand.priority = priority;
    demand.readySince = now;
    demand.objective = now + absl::Seconds(5);
    for (std::int32_t index = 0; index < spec.taskCount; ++index)
        demand.indices.push_back(index);
    return demand;
}

std::set<std::string> racksOf(const Allocation& allocation, absl::Span<const WorkerRoom> rooms)
{
    std::set<std::string> racks;
    for (const Placement& placement : allocation.placements) {
        const auto room = std::find_if(rooms.begin(), rooms.end(),
            [&placement](const WorkerRoom& candidate) { return candidate.worker == placement.worker; });
        racks.insert(room->rack.str());
    }
    return racks;
}

// Load: small urgent tasks among long runs that fill the building.
TEST(PriorityPolicy, EvictsWhatLosesLeastForUrgentWork)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 2);
    occupy(rooms[0], "dear", 8, 100);
    occupy(rooms[1], "cheap", 8, 1);
    const StepSpec spec = specOf(1, 8);
    const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("urgent", spec, 0) }, now);
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().run.task.job, JobId("cheap"));
}

TEST(PriorityPolicy, EvictsNobodyForWorkThatIsNotUrgent)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 1);
    occupy(rooms[0], "batch", 8, 1, 2);
    const StepSpec spec = specOf(1, 8);
    EXPECT_TRUE(PriorityPolicy().choose(rooms, { demandOf("normal", spec, 1) }, now).evictions.empty());
}

// Load: an urgent gang of whole workers that has to stand on one rack, while others are half full.
TEST(PriorityPolicy, MakesRoomForAGangOnOneRackOnly)
{
    std::vector<WorkerRoom> rooms = makeRooms(2, 2);
    occupy(rooms[0], "a", 8, 10);
    occupy(rooms[1], "b", 8, 10);
    occupy(rooms[2], "c", 8, 1);
    occupy(rooms[3], "d", 8, 100);
    StepSpec spec = specOf(2, 8);
    spec.isGang = true;
    spec.isRackLocal = true;
    const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("urgent", spec, 0) }, now);
    ASSERT_EQ(allocation.evictions.size(), 2U);
    EXPECT_EQ(allocation.evictions[0].run.task.job, JobId("a"));
    EXPECT_EQ(allocation.evictions[1].run.task.job, JobId("b"));
}

// Load: an organisation comes back for its guarantee while others' urgent work fills the building.
TEST(PriorityPolicy, ReclaimsAGuaranteeFromUrgentWorkThatNoneCovers)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 2);
    occupy(rooms[0], "covered", 8, 1, 0);
    rooms[0].occupants.front().isGuaranteed = true;
    occupy(rooms[1], "borrower", 8, 100, 0);
    const StepSpec spec = specOf(1, 8);
    StepDemand demand = demandOf("back", spec, 0);
    demand.isGuaranteed = true;
    std::vector<WorkerRoom> early = rooms;
    EXPECT_TRUE(PriorityPolicy().choose(early, { demand }, now).evictions.empty());
    demand.mayReclaim = true;
    const Allocation allocation = PriorityPolicy().choose(rooms, { demand }, now);
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().run.task.job, JobId("borrower"));
}

// Load: urgent jobs whose estimates are far too short, so that they are late soon, among new ones that are not.
TEST(PriorityPolicy, ServesGuaranteedWorkThatHasWaitedBeforeNewWork)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 1);
    const StepSpec spec = specOf(1, 8);
    StepDemand waiting = demandOf("waiting", spec, 0);
    waiting.isGuaranteed = true;
    waiting.mayReclaim = true;
    waiting.objective = now - absl::Seconds(1);
    StepDemand fresh = demandOf("fresh", spec, 0);
    fresh.isGuaranteed = true;
    const Allocation allocation = PriorityPolicy().choose(rooms, { fresh, waiting }, now);
    ASSERT_EQ(allocation.placements.size(), 1U);
    EXPECT_EQ(allocation.placements.front().task.job, JobId("waiting"));
}

TEST(PriorityPolicy, DoesNotEvictAgainWhileRoomIsComingFree)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 2);
    occupy(rooms[0], "leaving", 8, 1);
    occupy(rooms[1], "staying", 8, 1);
    rooms[0].occupants.front().isStopping = true;
    rooms[0].freeAfterStops.accelerators = 8;
    const StepSpec spec = specOf(1, 8);
    EXPECT_TRUE(PriorityPolicy().choose(rooms, { demandOf("urgent", spec, 0) }, now).evictions.empty());
}

TEST(PriorityPolicy, PlacesAGangWholeOrNotAtAll)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 2);
    StepSpec spec = specOf(3, 8);
    spec.isGang = true;
    const StepSpec small = specOf(1, 8);
    const Allocation allocation
        = PriorityPolicy().choose(rooms, { demandOf("gang", spec, 1), demandOf("small", small, 2) }, now);
    ASSERT_EQ(allocation.placements.size(), 1U);
    EXPECT_EQ(allocation.placements.front().task.job, JobId("small"));
}

TEST(PriorityPolicy, KeepsARackLocalGangOnOneRack)
{
    std::vector<WorkerRoom> rooms = makeRooms(3, 2);
    occupy(rooms[0], "x", 4, 1);
    StepSpec spec = specOf(2, 8);
    spec.isGang = true;
    spec.isRackLocal = true;
    const std::vector<WorkerRoom> before = rooms;
    const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("gang", spec, 1) }, now);
    EXPECT_EQ(allocation.placements.size(), 2U);
    EXPECT_EQ(racksOf(allocation, before).size(), 1U);
}

// Load: data far away. A task that runs three times as long elsewhere waits, but not for ever.
TEST(PriorityPolicy, WaitsForARackNearTheDataForAWhile)
{
    std::vector<WorkerRoom> rooms = makeRooms(2, 1);
    occupy(rooms[0], "x", 8, 1);
    StepSpec spec = specOf(1, 4);
    spec.dataRack = RackName("r0");
    StepDemand demand = demandOf("near", spec, 1);
    EXPECT_TRUE(PriorityPolicy().choose(rooms, { demand }, now).placements.empty());
    demand.readySince = now - absl::Seconds(30);
    EXPECT_EQ(PriorityPolicy().choose(rooms, { demand }, now).placements.size(), 1U);
}

// Load: whole-worker tasks in a building that small ones would scatter over.
TEST(PriorityPolicy, PacksSmallTasksSoThatWholeWorkersStayFree)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 3);
    occupy(rooms[1], "x", 4, 1);
    const StepSpec spec = specOf(4, 1);
    const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("small", spec, 2) }, now);
    ASSERT_EQ(allocation.placements.size(), 4U);
    for (const Placement& placement : allocation.placements)
        EXPECT_EQ(placement.worker, WorkerName("w01"));
}

TEST(PriorityPolicy, ServesGuaranteedWorkFirstAndLateWorkLast)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 1);
    const StepSpec spec = specOf(1, 8);
    StepDemand late = demandOf("late", spec, 0);
    late.objective = now - absl::Seconds(1);
    const StepDemand inTime = demandOf("inTime", spec, 0);
    StepDemand guaranteed = demandOf("guaranteed", spec, 0);
    guaranteed.isGuaranteed = true;
    std::vector<WorkerRoom> first = rooms;
    const Allocation both = PriorityPolicy().choose(first, { late, inTime }, now);
    ASSERT_EQ(both.placements.size(), 1U);
    EXPECT_EQ(both.placements.front().task.job, JobId("inTime"));
    std::vector<WorkerRoom> second = rooms;
    const Allocation all = PriorityPolicy().choose(second, { late, inTime, guaranteed }, now);
    ASSERT_EQ(all.placements.size(), 1U);
    EXPECT_EQ(all.placements.front().task.job, JobId("guaranteed"));
}

// Load: urgent jobs come all the time among batch work that takes whatever is free and is evicted a moment later.
TEST(PriorityPolicy, KeepsEmptyWorkersForUrgentWorkThatGoesOn)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 4);
    occupy(rooms[0], "urgent", 8, 1, 0);
    occupy(rooms[1], "urgent", 8, 1, 0);
    const StepSpec spec = specOf(2, 8);
    std::vector<WorkerRoom> first = rooms;
    EXPECT_EQ(PriorityPolicy().choose(first, { demandOf("batch", spec, 2) }, now).placements.size(), 0U);
    EXPECT_EQ(PriorityPolicy().choose(rooms, { demandOf("more", spec, 0) }, now).placements.size(), 2U);
}

TEST(PriorityPolicy, KeepsNothingWhileNoUrgentWorkIsAbout)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 4);
    const StepSpec spec = specOf(4, 8);
    EXPECT_EQ(PriorityPolicy().choose(rooms, { demandOf("batch", spec, 2) }, now).placements.size(), 4U);
}

TEST(PriorityPolicy, KeepsToLabelsAndTheLimitPerWorker)
{
    std::vector<WorkerRoom> rooms = makeRooms(1, 2);
    rooms[1].labels = { WorkerLabel("special") };
    StepSpec spec = specOf(3, 1);
    spec.requiredLabel = WorkerLabel("special");
    spec.maxPerWorker = 2;
    const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("picky", spec, 1) }, now);
    ASSERT_EQ(allocation.placements.size(), 2U);
    EXPECT_EQ(allocation.placements.front().worker, WorkerName("w01"));
}

// How often a choice looks at workers for gangs that find no room on a large site, where two accelerators are free on
// each worker and nobody has to make room.
std::int64_t looksForWaitingGangs(int tasks, int accelerators)
{
    std::vector<WorkerRoom> rooms = makeRooms(44, 8);
    for (std::size_t room = 0; room < rooms.size(); ++room)
        occupy(rooms[room], absl::StrCat("urgent", room), 6, 10, 0);
    StepSpec spec = specOf(tasks, accelerators);
    spec.isGang = true;
    constexpr int gangs = 8;
    std::vector<StepDemand> demands;
    demands.reserve(gangs);
    for (int gang = 0; gang < gangs; ++gang)
        demands.push_back(demandOf(absl::StrCat("gang", gang), spec, 0));
    const Allocation allocation = PriorityPolicy().choose(rooms, demands, now);
    EXPECT_TRUE(allocation.placements.empty());
    EXPECT_TRUE(allocation.evictions.empty());
    return allocation.roomsTried;
}

// Guards against the RECLAIM incident: each choice placed most of a gang, task by task, before it found no room for the
// last one, and took it back.
TEST(PriorityPolicy, LooksNoFurtherForAGangThatAlmostFitsThanForOneThatFitsNowhere)
{
    EXPECT_LE(looksForWaitingGangs(353, 2), 2 * looksForWaitingGangs(353, 4));
}

// Guards against the same where there is room: a gang of small tasks on a large site that is half full.
TEST(PriorityPolicy, PlacesALargeGangWithoutALookAtEachWorkerForEachTask)
{
    const auto looksFor = [](int tasks) {
        std::vector<WorkerRoom> rooms = makeRooms(44, 8);
        StepSpec spec = specOf(tasks, 1);
        spec.isGang = true;
        const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("gang", spec, 0) }, now);
        EXPECT_EQ(allocation.placements.size(), static_cast<std::size_t>(tasks));
        return allocation.roomsTried;
    };
    EXPECT_LE(looksFor(256), 2 * looksFor(16));
}

// Guards against the same where others have to make room, task by task.
TEST(PriorityPolicy, EvictsForALargeGangWithoutALookAtEachWorkerForEachTask)
{
    const auto looksFor = [](int tasks) {
        std::vector<WorkerRoom> rooms = makeRooms(44, 8);
        for (std::size_t room = 0; room < rooms.size(); ++room)
            occupy(rooms[room], absl::StrCat("batch", room), 8, 10);
        StepSpec spec = specOf(tasks, 8);
        spec.isGang = true;
        const Allocation allocation = PriorityPolicy().choose(rooms, { demandOf("gang", spec, 0) }, now);
        EXPECT_EQ(allocation.evictions.size(), static_cast<std::size_t>(tasks));
        return allocation.roomsTried;
    };
    EXPECT_LE(looksFor(128), 2 * looksFor(8));
}

} // namespace
} // namespace mangohall::batch
