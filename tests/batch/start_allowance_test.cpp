#include "batch/owner/start_allowance_func.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr int tasksPerStep = 5;

class StartAllowance : public testing::Test {
protected:
    StartAllowance() { m_gangSpec.isGang = true; }

    // Adds a step with placements of all its tasks, behind those that were added before.
    PendingStep& addStep(const std::string& job, bool isGang = false)
    {
        PendingStep step;
        step.job = JobId(job);
        step.spec = isGang ? &m_gangSpec : &m_spec;
        for (std::int32_t index = 0; index < tasksPerStep; ++index)
            m_allocation.placements.push_back({ { step.job, { 0, 0, index } }, WorkerName(absl::StrCat("w", index)) });
        m_steps.push_back(step);
        return m_steps.back();
    }

    int placementsOf(const std::string& job) const
    {
        int count = 0;
        for (const Placement& placement : m_allocation.placements)
            count += placement.task.job == JobId(job) ? 1 : 0;
        return count;
    }

    StepSpec m_spec;
    StepSpec m_gangSpec;
    std::vector<PendingStep> m_steps;
    Allocation m_allocation;
};

TEST_F(StartAllowance, RemovesTheLastPlacementsAndTellsOfThem)
{
    addStep("a");
    addStep("b");
    addStep("c").wantsReason = true;
    limitAllocation(m_allocation, m_steps, 7);
    EXPECT_EQ(placementsOf("a"), 5);
    EXPECT_EQ(placementsOf("b"), 2);
    EXPECT_EQ(placementsOf("c"), 0);
    ASSERT_EQ(m_allocation.held.size(), 1U);
    EXPECT_EQ(m_allocation.held[0].job, JobId("c"));
    EXPECT_EQ(m_allocation.held[0].reason, HoldReason::OwnerBusy);
}

TEST_F(StartAllowance, KeepsGangsWhole)
{
    addStep("a", true);
    addStep("b", true);
    limitAllocation(m_allocation, m_steps, 3);
    EXPECT_EQ(placementsOf("a"), 5);
    EXPECT_EQ(placementsOf("b"), 0);
}

TEST_F(StartAllowance, KeepsWhatAGuaranteeCovers)
{
    addStep("a");
    addStep("b").isGuaranteed = true;
    limitAllocation(m_allocation, m_steps, -10);
    EXPECT_EQ(placementsOf("a"), 0);
    EXPECT_EQ(placementsOf("b"), 5);
}

// Guards against runs that are evicted for tasks which the owner does not start yet.
TEST_F(StartAllowance, EvictsOnlyForGuaranteedJobsOnceItIsUsedUp)
{
    addStep("a");
    addStep("b").isGuaranteed = true;
    m_allocation.evictions = { { RunKey(), WorkerName("w"), JobId("a") }, { RunKey(), WorkerName("w"), JobId("b") } };
    limitAllocation(m_allocation, m_steps, 100);
    EXPECT_EQ(m_allocation.evictions.size(), 2U);
    limitAllocation(m_allocation, m_steps, 0);
    ASSERT_EQ(m_allocation.evictions.size(), 1U);
    EXPECT_EQ(m_allocation.evictions[0].beneficiary, JobId("b"));
}

} // namespace
} // namespace mangohall::batch
