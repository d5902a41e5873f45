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
            m_placements.push_back({ { step.job, { 0, 0, index } }, WorkerName(absl::StrCat("w", index)) });
        m_steps.push_back(step);
        return m_steps.back();
    }

    int placementsOf(const std::string& job) const
    {
        int count = 0;
        for (const Placement& placement : m_placements)
            count += placement.task.job == JobId(job) ? 1 : 0;
        return count;
    }

    StepSpec m_spec;
    StepSpec m_gangSpec;
    std::vector<PendingStep> m_steps;
    std::vector<Placement> m_placements;
};

TEST_F(StartAllowance, RemovesTheLastPlacementsAndTellsOfThem)
{
    addStep("a");
    addStep("b");
    addStep("c").wantsReason = true;
    const std::vector<JobId> removed = limitPlacements(m_placements, m_steps, 7);
    EXPECT_EQ(placementsOf("a"), 5);
    EXPECT_EQ(placementsOf("b"), 2);
    EXPECT_EQ(placementsOf("c"), 0);
    EXPECT_EQ(removed, std::vector<JobId> { JobId("c") });
}

TEST_F(StartAllowance, KeepsGangsWhole)
{
    addStep("a", true);
    addStep("b", true);
    limitPlacements(m_placements, m_steps, 3);
    EXPECT_EQ(placementsOf("a"), 5);
    EXPECT_EQ(placementsOf("b"), 0);
}

TEST_F(StartAllowance, KeepsWhatAGuaranteeCovers)
{
    addStep("a");
    addStep("b").isGuaranteed = true;
    limitPlacements(m_placements, m_steps, -10);
    EXPECT_EQ(placementsOf("a"), 0);
    EXPECT_EQ(placementsOf("b"), 5);
}

} // namespace
} // namespace mangohall::batch
