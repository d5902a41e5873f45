// Tests how long steps wait for better workers: for those near their data, on one rack, or not reserved.
#include <set>

#include "batch/policy/priority_policy_base.h"
#include "batch/policy_builders_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

// A task runs three times as long far from its data, so it waits for the rack of its data, but only for a limited time.
TEST(PriorityPolicy, WaitsForARackNearTheDataForAWhile)
{
    std::vector<WorkerCapacity> workers = makeWorkers(2, 1);
    occupy(workers[0], "x", 8, 1);
    StepSpec spec = specOf(1, 4);
    spec.dataRack = RackName("r0");
    PendingStep pending = pendingStepOf("near", spec, 1);
    EXPECT_TRUE(PriorityPolicy().allocate(workers, { pending }, now).placements.empty());
    pending.readySince = now - absl::Seconds(30);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pending }, now).placements.size(), 1U);
}

// While urgent jobs arrive all the time, batch work that takes all free workers would be evicted shortly after its
// start.
TEST(PriorityPolicy, ReservesEmptyWorkersWhileUrgentWorkRuns)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 4);
    occupy(workers[0], "urgent", 8, 1, 0);
    occupy(workers[1], "urgent", 8, 1, 0);
    const StepSpec spec = specOf(2, 8);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_EQ(PriorityPolicy().allocate(first, { pendingStepOf("batch", spec, 2) }, now).placements.size(), 0U);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pendingStepOf("more", spec, 0) }, now).placements.size(), 2U);
}

// Guards against a job that waits beside idle workers which the urgent work could not use either.
TEST(PriorityPolicy, ReservesOnlyWorkersThatUrgentWorkCanUse)
{
    for (const bool isOtherService : { true, false }) {
        std::vector<WorkerCapacity> workers = makeWorkers(1, 4);
        occupy(workers[0], "urgent", 8, 1, 0);
        occupy(workers[1], "urgent", 8, 1, 0);
        workers[0].runs.front().requiredLabel = WorkerLabel("a");
        workers[1].runs.front().requiredLabel = WorkerLabel("a");
        StepSpec spec = specOf(2, 8);
        for (const std::size_t idle : { 2, 3 }) {
            workers[idle].labels = { WorkerLabel("b") };
            if (isOtherService)
                workers[idle].service = ServiceName("other");
        }
        PendingStep batch = pendingStepOf("batch", spec, 2);
        batch.service = workers[2].service;
        EXPECT_EQ(PriorityPolicy().allocate(workers, { batch }, now).placements.size(), 2U);
    }
}

// Guards against a reserve without a bound in time.
TEST(PriorityPolicy, OpensTheReserveToStepsThatHaveWaitedLong)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 3, 0);
    const StepSpec spec = specOf(5, 8);
    PendingStep batch = pendingStepOf("batch", spec, 2);
    batch.readySince = now - absl::Seconds(1);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_EQ(PriorityPolicy().allocate(first, { batch }, now).placements.size(), 3U);
    batch.readySince = now - absl::Seconds(3);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { batch }, now).placements.size(), 5U);
}

// While most workers are busy, the reserve lasts longer.
TEST(PriorityPolicy, KeepsTheReserveLongerWhileTheWorkersAreBusy)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 5, 0);
    const StepSpec spec = specOf(3, 8);
    PendingStep batch = pendingStepOf("batch", spec, 2);
    batch.readySince = now - absl::Seconds(59);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(first, { batch }, now).placements.empty());
    batch.readySince = now - absl::Seconds(61);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { batch }, now).placements.size(), 3U);
}

TEST(PriorityPolicy, ReservesNothingWithoutUrgentWork)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 4);
    const StepSpec spec = specOf(4, 8);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pendingStepOf("batch", spec, 2) }, now).placements.size(), 4U);
}

// Guards against a job that has nothing running beside free workers: all were reserved.
TEST(PriorityPolicy, StartsOneTaskOfAnOverdueStepOnReservedWorkers)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 5, 0);
    const StepSpec spec = specOf(3, 8);
    PendingStep batch = pendingStepOf("batch", spec, 2);
    batch.isOverdue = true;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { batch }, now).placements.size(), 1U);
}

// The rack of the data is full, and the workers are busy.
TEST(PriorityPolicy, StartsOneTaskOfAnOverdueStepFarFromItsData)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(2, 4, 5, 2);
    StepSpec spec = specOf(3, 8);
    spec.dataRack = RackName("r0");
    PendingStep near = pendingStepOf("near", spec, 2);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(first, { near }, now).placements.empty());
    near.isOverdue = true;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { near }, now).placements.size(), 1U);
}

// A reserve that an overdue step could use up is no reserve, so the step has to fit twice.
TEST(PriorityPolicy, KeepsTheReserveFromAnOverdueStepThatFitsOnlyOnce)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 7, 0);
    const StepSpec spec = specOf(3, 8);
    PendingStep batch = pendingStepOf("batch", spec, 2);
    batch.isOverdue = true;
    EXPECT_TRUE(PriorityPolicy().allocate(workers, { batch }, now).placements.empty());
}

// Two steps of a job are overdue together; one task is enough.
TEST(PriorityPolicy, StartsOneTaskOfAnOverdueJobOnly)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 5, 0);
    const StepSpec spec = specOf(1, 4);
    PendingStep first = pendingStepOf("batch", spec, 2);
    first.isOverdue = true;
    PendingStep second = first;
    second.step = 1;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { first, second }, now).placements.size(), 1U);
}

// Each task of a long-running step has to run, whether others do or not.
TEST(PriorityPolicy, StartsEachTaskOfAnOverdueLongRunningStep)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(1, 8, 5, 0);
    StepSpec spec = specOf(3, 4);
    spec.isLongRunning = true;
    PendingStep lasting = pendingStepOf("lasting", spec, 2);
    lasting.isOverdue = true;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { lasting }, now).placements.size(), 3U);
}

// Four racks have room for three members each.
TEST(PriorityPolicy, SpreadsAnOverdueGangOverRacksOnlyIfNoRackHasRoom)
{
    std::vector<WorkerCapacity> workers = makeWorkers(4, 4);
    for (WorkerCapacity& worker : workers)
        occupy(worker, "other", 5, 1);
    StepSpec spec = specOf(5, 3);
    spec.isGang = true;
    spec.isRackLocal = true;
    PendingStep gang = pendingStepOf("gang", spec, 2);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(first, { gang }, now).placements.empty());
    gang.isOverdue = true;
    std::vector<WorkerCapacity> second = workers;
    EXPECT_EQ(PriorityPolicy().allocate(second, { gang }, now).placements.size(), 5U);
    workers[12] = makeWorkers(4, 4)[12];
    const std::vector<WorkerCapacity> before = workers;
    const Allocation allocation = PriorityPolicy().allocate(workers, { gang }, now);
    EXPECT_EQ(allocation.placements.size(), 5U);
    EXPECT_EQ(racksOf(allocation, before).size(), 1U);
}

// Guards against a wait for a rack that has too few workers for the gang.
TEST(PriorityPolicy, WaitsForNoRackThatCannotHoldTheGang)
{
    std::vector<WorkerCapacity> workers = makeWorkers(2, 4);
    occupy(workers[0], "other", 8, 1);
    StepSpec spec = specOf(5, 8);
    spec.isGang = true;
    spec.isRackLocal = true;
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pendingStepOf("gang", spec, 2) }, now).placements.size(), 5U);
}

// Guards against the wait for the rack of the data while it has no worker for the step.
TEST(PriorityPolicy, WaitsForNoDataRackWithoutASuitableWorker)
{
    std::vector<WorkerCapacity> workers = makeWorkers(1, 2);
    StepSpec spec = specOf(1, 8);
    spec.dataRack = RackName("gone");
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pendingStepOf("near", spec, 2) }, now).placements.size(), 1U);
}

// Once a guaranteed step has given up its rack, runs may have to be stopped elsewhere.
TEST(PriorityPolicy, GivesUpTheRackOfAGuaranteedStepInTime)
{
    std::vector<WorkerCapacity> workers = makeBusyWorkers(2, 4, 4, 0);
    StepSpec spec = specOf(1, 8);
    spec.dataRack = RackName("r0");
    PendingStep pending = pendingStepOf("guaranteed", spec, 0);
    pending.isGuaranteed = true;
    pending.startBy = now + absl::Milliseconds(1600);
    std::vector<WorkerCapacity> first = workers;
    EXPECT_TRUE(PriorityPolicy().allocate(first, { pending }, now).placements.empty());
    pending.startBy = now + absl::Milliseconds(1500);
    EXPECT_EQ(PriorityPolicy().allocate(workers, { pending }, now).placements.size(), 1U);
}

} // namespace
} // namespace mangohall::batch
