#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "batch/policy_builders_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

// A step whose tasks are a gang.
StepSpec gangSpecOf(int tasks, int accelerators)
{
    StepSpec spec = specOf(tasks, accelerators);
    spec.isGang = true;
    return spec;
}

// An urgent step that a guarantee covers.
PendingStep guaranteedStepOf(const std::string& job, const StepSpec& spec)
{
    PendingStep pending = pendingStepOf(job, spec, 0);
    pending.isGuaranteed = true;
    return pending;
}

// Adds a run that uses the whole worker under a guarantee.
void occupyCovered(WorkerCapacity& capacity)
{
    occupy(capacity, "covered", 8, 1, 0);
    capacity.runs.back().isGuaranteed = true;
}

// Adds a run that uses the whole worker and is being stopped.
void occupyUntilStopped(WorkerCapacity& capacity)
{
    occupy(capacity, "leaving", 8, 1);
    capacity.runs.back().isStopping = true;
    capacity.freeAfterStops.accelerators = 8;
}

// Long runs with different eviction costs fill all workers when an urgent task arrives.
TEST(PriorityPolicy, EvictsWhatLosesLeastForUrgentWork)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    occupy(workers[0], "expensive", 8, 100);
    occupy(workers[1], "cheap", 8, 1);
    const StepSpec spec = specOf(1, 8);
    const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("urgent", spec, 0) }, now);
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().run.task.job, JobId("cheap"));
}

TEST(PriorityPolicy, EvictsNobodyForWorkThatIsNotUrgent)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 1);
    occupy(workers[0], "batch", 8, 1, 2);
    const StepSpec spec = specOf(1, 8);
    EXPECT_TRUE(PriorityPolicy().allocate(workers, { pendingStepOf("normal", spec, 1) }, now).evictions.empty());
}

// An urgent gang needs two whole workers on one rack. The run with the lowest cost is on the rack where evicting two
// runs costs more in total.
TEST(PriorityPolicy, EvictsForAGangOnOneRackOnly)
{
    std::vector<WorkerCapacity> workers = makeWorkers(2, 2);
    occupy(workers[0], "a", 8, 10);
    occupy(workers[1], "b", 8, 10);
    occupy(workers[2], "c", 8, 1);
    occupy(workers[3], "d", 8, 100);
    StepSpec spec = gangSpecOf(2, 8);
    spec.isRackLocal = true;
    const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("urgent", spec, 0) }, now);
    ASSERT_EQ(allocation.evictions.size(), 2U);
    EXPECT_EQ(allocation.evictions[0].run.task.job, JobId("a"));
    EXPECT_EQ(allocation.evictions[1].run.task.job, JobId("b"));
}

// An organisation needs its guaranteed accelerators while urgent work of other organisations occupies all workers.
TEST(PriorityPolicy, ReclaimsAGuaranteeFromUrgentWorkThatNoneCovers)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    occupyCovered(workers[0]);
    occupy(workers[1], "borrower", 8, 100, 0);
    const StepSpec spec = specOf(1, 8);
    PendingStep pending = guaranteedStepOf("guaranteed", spec);
    std::vector<WorkerCapacity> early = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(early, { pending }, now).evictions.empty());
    pending.mayReclaim = true;
    const Allocation allocation = PriorityPolicy().allocate(workers, { pending }, now);
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().run.task.job, JobId("borrower"));
}

// Jobs whose estimates are far too short soon miss their target completion time. Those that a guarantee covers must
// still be served before new jobs that are in time.
TEST(PriorityPolicy, ServesGuaranteedWorkThatHasWaitedBeforeNewWork)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 1);
    const StepSpec spec = specOf(1, 8);
    PendingStep waiting = guaranteedStepOf("waiting", spec);
    waiting.mayReclaim = true;
    waiting.targetEnd = now - absl::Seconds(1);
    const PendingStep fresh = guaranteedStepOf("fresh", spec);
    const Allocation allocation = PriorityPolicy().allocate(workers, { fresh, waiting }, now);
    ASSERT_EQ(allocation.placements.size(), 1U);
    EXPECT_EQ(allocation.placements.front().task.job, JobId("waiting"));
}

// Guards against a guaranteed gang that begins too late: later jobs under a guarantee, which were to be done sooner,
// took the workers that had been emptied for it one after the other.
TEST(PriorityPolicy, KeepsTheRoomThatIsMadeForAGuaranteedGangFromLaterOnes)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    occupyUntilStopped(workers[1]);
    const StepSpec spec = gangSpecOf(2, 8);
    PendingStep gang = guaranteedStepOf("gang", spec);
    gang.startBy = now + absl::Seconds(3);
    const StepSpec small = specOf(1, 8);
    PendingStep later = guaranteedStepOf("later", small);
    later.startBy = now + absl::Milliseconds(3400);
    later.targetEnd = gang.targetEnd - absl::Seconds(2);
    const Allocation allocation = PriorityPolicy().allocate(workers, { gang, later }, now);
    EXPECT_TRUE(allocation.placements.empty());
    EXPECT_TRUE(allocation.evictions.empty());
}

// Guards against the same while not all of the gang's room can be made at once: one worker is free, one runs what may
// be evicted, and one runs work under a guarantee.
TEST(PriorityPolicy, MakesRoomForAGuaranteedGangAsFarAsItCan)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 3);
    occupy(workers[1], "batch", 8, 1);
    occupyCovered(workers[2]);
    const StepSpec spec = gangSpecOf(3, 8);
    PendingStep gang = guaranteedStepOf("gang", spec);
    gang.startBy = now + absl::Seconds(3);
    const StepSpec small = specOf(1, 8);
    PendingStep later = guaranteedStepOf("later", small);
    later.startBy = now + absl::Milliseconds(3400);
    const Allocation allocation = PriorityPolicy().allocate(workers, { gang, later }, now);
    EXPECT_TRUE(allocation.placements.empty());
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().run.task.job, JobId("batch"));
}

// Guards against gangs that each keep part of their room and wait for one another: the one that has to start first
// does.
TEST(PriorityPolicy, KeepsPartOfTheRoomForOneGuaranteedGangAtATime)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 4);
    occupyCovered(workers[3]);
    occupy(workers[2], "batch", 4, 1);
    const StepSpec wide = gangSpecOf(4, 8);
    const StepSpec narrow = gangSpecOf(5, 4);
    PendingStep first = guaranteedStepOf("first", wide);
    first.startBy = now + absl::Seconds(1);
    PendingStep second = guaranteedStepOf("second", narrow);
    second.startBy = now + absl::Seconds(2);
    const Allocation allocation = PriorityPolicy().allocate(workers, { first, second }, now);
    EXPECT_TRUE(allocation.placements.empty());
    ASSERT_EQ(allocation.evictions.size(), 1U);
    EXPECT_EQ(allocation.evictions.front().beneficiary, JobId("first"));
}

// Guards against room that is kept without end for a gang that does not fit, or could never fit: others are kept out.
TEST(PriorityPolicy, KeepsPartOfTheRoomOfAGuaranteedGangForABoundedTime)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 3);
    occupyCovered(workers[2]);
    StepSpec spec = gangSpecOf(3, 8);
    PendingStep gang = guaranteedStepOf("gang", spec);
    gang.mayReclaim = true;
    gang.startBy = now - absl::Seconds(2);
    const StepSpec small = specOf(1, 8);
    const PendingStep other = pendingStepOf("other", small, 2);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(first, { gang, other }, now).placements.empty());
    gang.startBy = now - absl::Seconds(3);
    std::vector<WorkerCapacity> second = workers;
    EXPECT_EQ(PriorityPolicy().allocate(second, { gang, other }, now).placements.size(), 1U);
    spec.taskCount = 4;
    gang.indices.push_back(3);
    gang.startBy = now + absl::Seconds(1);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { gang, other }, now).placements.size(), 1U);
}

TEST(PriorityPolicy, DoesNotEvictAgainWhileRoomIsComingFree)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    occupyUntilStopped(workers[0]);
    occupy(workers[1], "staying", 8, 1);
    const StepSpec spec = specOf(1, 8);
    EXPECT_TRUE(PriorityPolicy().allocate(workers, { pendingStepOf("urgent", spec, 0) }, now).evictions.empty());
}

// Guards against a guaranteed step that waits for one run after the other that is about to end and lasts longer.
TEST(PriorityPolicy, StopsARunThatIsExpectedToEndOnlyForAnEnforcedGuarantee)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 1);
    occupy(workers[0], "ending", 8, 1);
    workers[0].runs.front().isEnding = true;
    const StepSpec spec = specOf(1, 8);
    PendingStep pending = guaranteedStepOf("guaranteed", spec);
    std::vector<WorkerCapacity> early = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(early, { pending }, now).evictions.empty());
    pending.mayReclaim = true;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pending }, now).evictions.size(), 1U);
}

TEST(PriorityPolicy, PlacesAGangWholeOrNotAtAll)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    const StepSpec spec = gangSpecOf(3, 8);
    const StepSpec small = specOf(1, 8);
    const Allocation allocation
        = PriorityPolicy().allocate(workers, { pendingStepOf("gang", spec, 1), pendingStepOf("small", small, 2) }, now);
    ASSERT_EQ(allocation.placements.size(), 1U);
    EXPECT_EQ(allocation.placements.front().task.job, JobId("small"));
}

TEST(PriorityPolicy, KeepsARackLocalGangOnOneRack)
{
    std::vector<WorkerCapacity> workers = makeWorkers(3, 2);
    occupy(workers[0], "x", 4, 1);
    StepSpec spec = gangSpecOf(2, 8);
    spec.isRackLocal = true;
    const std::vector<WorkerCapacity> before = workers;
    const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("gang", spec, 1) }, now);
    EXPECT_EQ(allocation.placements.size(), 2U);
    EXPECT_EQ(racksOf(allocation, before).size(), 1U);
}

// Small tasks must not spread over all workers, because tasks that need a whole worker would then find none.
TEST(PriorityPolicy, PacksSmallTasksSoThatWholeWorkersStayFree)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 3);
    occupy(workers[1], "x", 4, 1);
    const StepSpec spec = specOf(4, 1);
    const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("small", spec, 2) }, now);
    ASSERT_EQ(allocation.placements.size(), 4U);
    for (const Placement& placement : allocation.placements)
        EXPECT_EQ(placement.worker, WorkerName("w01"));
}

TEST(PriorityPolicy, ServesGuaranteedWorkFirstAndLateWorkLast)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 1);
    const StepSpec spec = specOf(1, 8);
    PendingStep late = pendingStepOf("late", spec, 0);
    late.targetEnd = now - absl::Seconds(1);
    const PendingStep inTime = pendingStepOf("inTime", spec, 0);
    const PendingStep guaranteed = guaranteedStepOf("guaranteed", spec);
    std::vector<WorkerCapacity> first = workers;
    const Allocation both = PriorityPolicy().allocate(first, { late, inTime }, now);
    ASSERT_EQ(both.placements.size(), 1U);
    EXPECT_EQ(both.placements.front().task.job, JobId("inTime"));
    std::vector<WorkerCapacity> second = workers;
    const Allocation all = PriorityPolicy().allocate(second, { late, inTime, guaranteed }, now);
    ASSERT_EQ(all.placements.size(), 1U);
    EXPECT_EQ(all.placements.front().task.job, JobId("guaranteed"));
}

TEST(PriorityPolicy, KeepsToLabelsAndTheLimitPerWorker)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    workers[1].labels = { WorkerLabel("special") };
    StepSpec spec = specOf(3, 1);
    spec.requiredLabel = WorkerLabel("special");
    spec.maxPerWorker = 2;
    const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("labelled", spec, 1) }, now);
    ASSERT_EQ(allocation.placements.size(), 2U);
    EXPECT_EQ(allocation.placements.front().worker, WorkerName("w01"));
}

// How often an allocation round examines workers for gangs that do not fit on a large site, where two accelerators are
// free on each worker and no run may be evicted.
std::int64_t examinationsForWaitingGangs(int tasks, int accelerators)
{
    std::vector<WorkerCapacity> workers = makeWorkers(44, 8);
    for (std::size_t worker = 0; worker < workers.size(); ++worker)
        occupy(workers[worker], absl::StrCat("urgent", worker), 6, 10, 0);
    const StepSpec spec = gangSpecOf(tasks, accelerators);
    constexpr int gangs = 8;
    std::vector<PendingStep> pendingSteps;
    pendingSteps.reserve(gangs);
    for (int gang = 0; gang < gangs; ++gang)
        pendingSteps.push_back(pendingStepOf(absl::StrCat("gang", gang), spec, 0));
    const Allocation allocation = PriorityPolicy().allocate(workers, pendingSteps, now);
    EXPECT_TRUE(allocation.placements.empty());
    EXPECT_TRUE(allocation.evictions.empty());
    return allocation.workersExamined;
}

// Guards against the RECLAIM incident: each allocation round placed most of a gang, task by task, before the last task
// did not fit and all placements were reverted.
TEST(PriorityPolicy, ExaminesNoMoreWorkersForAGangThatAlmostFitsThanForOneThatFitsNowhere)
{
    EXPECT_LE(examinationsForWaitingGangs(353, 2), 2 * examinationsForWaitingGangs(353, 4));
}

// Guards against the same cost where the gang fits: small tasks on a large site with free capacity.
TEST(PriorityPolicy, PlacesALargeGangWithoutExaminingEachWorkerForEachTask)
{
    const auto examinationsFor = [](int tasks) {
        std::vector<WorkerCapacity> workers = makeWorkers(44, 8);
        const StepSpec spec = gangSpecOf(tasks, 1);
        const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("gang", spec, 0) }, now);
        EXPECT_EQ(allocation.placements.size(), static_cast<std::size_t>(tasks));
        return allocation.workersExamined;
    };
    EXPECT_LE(examinationsFor(256), 2 * examinationsFor(16));
}

// Guards against the same cost where a run has to be evicted for each task.
TEST(PriorityPolicy, EvictsForALargeGangWithoutExaminingEachWorkerForEachTask)
{
    const auto examinationsFor = [](int tasks) {
        std::vector<WorkerCapacity> workers = makeWorkers(44, 8);
        for (std::size_t worker = 0; worker < workers.size(); ++worker)
            occupy(workers[worker], absl::StrCat("batch", worker), 8, 10);
        const StepSpec spec = gangSpecOf(tasks, 8);
        const Allocation allocation = PriorityPolicy().allocate(workers, { pendingStepOf("gang", spec, 0) }, now);
        EXPECT_EQ(allocation.evictions.size(), static_cast<std::size_t>(tasks));
        return allocation.workersExamined;
    };
    EXPECT_LE(examinationsFor(128), 2 * examinationsFor(8));
}

} // namespace
} // namespace mangohall::batch
