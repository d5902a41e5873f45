#include "batch/owner/allocation_input_func.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);
constexpr absl::Duration guaranteeBound = absl::Milliseconds(3400);

// A manifest of one organisation with a guarantee of 16 accelerators.
RouteTable makeRoutes()
{
    Manifest manifest;
    manifest.organisations = { { OrganisationName("large"), { "key" }, 16 } };
    return RouteTable(manifest);
}

// An urgent job of `steps` steps, one after the other, each of two tasks with four accelerators each.
Job urgentJob(const std::string& id, int steps, absl::Time acceptedAt)
{
    Job job;
    job.id = JobId(id);
    job.organisation = OrganisationName("large");
    job.acceptedAt = acceptedAt;
    for (int index = 0; index < steps; ++index) {
        StepSpec step;
        step.taskCount = 2;
        step.demand.accelerators = 4;
        if (index > 0)
            step.after = { index - 1 };
        job.spec.steps.push_back(step);
    }
    return job;
}

// Registries of jobs and workers without workers, and the pending steps that they give.
class PendingSteps {
public:
    explicit PendingSteps(absl::Duration bound = guaranteeBound)
        : m_workers(SessionSettings())
        , m_routes(makeRoutes())
        , m_bound(bound)
    {
    }

    JobEntry& add(const Job& job)
    {
        m_jobs.add(job);
        m_jobs.openDueOccurrences(now);
        return *m_jobs.find(job.id);
    }

    // The pending step of the only step that waits at the time.
    PendingStep at(absl::Time time)
    {
        AllocationInput input = describeAllocation(m_workers, m_jobs, &m_routes, m_bound, time);
        EXPECT_EQ(input.pendingSteps.size(), 1U);
        return input.pendingSteps.front();
    }

    bool isCovered(const std::string& job, absl::Time time)
    {
        for (const PendingStep& pending :
            describeAllocation(m_workers, m_jobs, &m_routes, m_bound, time).pendingSteps) {
            if (pending.job == JobId(job))
                return pending.isGuaranteed;
        }
        return false;
    }

private:
    WorkerRegistry m_workers;
    JobRegistry m_jobs;
    const RouteTable m_routes;
    const absl::Duration m_bound;
};

// Guards against guaranteed jobs that start too late after a change of owner: the new owner counted their wait from
// when it read them.
TEST(AllocationInputTest, CountsTheWaitOfAGuaranteedJobFromItsAcceptance)
{
    PendingSteps steps;
    steps.add(urgentJob("waiting", 1, now - absl::Seconds(2)));
    const PendingStep pending = steps.at(now);
    EXPECT_TRUE(pending.isGuaranteed);
    EXPECT_TRUE(pending.mayReclaim);
    EXPECT_EQ(pending.startBy, now + absl::Milliseconds(1400));
}

// Guards against the same delay of a wide step: each task that was placed restarted the wait of the others.
TEST(AllocationInputTest, CountsTheWaitFromAcceptanceUntilEachTaskHasStartedOnce)
{
    PendingSteps steps;
    JobEntry& entry = steps.add(urgentJob("half", 1, now));
    EXPECT_FALSE(steps.at(now).mayReclaim);
    entry.progress.place({ 0, 0, 0 }, 1, WorkerName("w"), { 1, 1 });
    entry.readySince.clear();
    EXPECT_TRUE(steps.at(now + absl::Seconds(2)).mayReclaim);
}

TEST(AllocationInputTest, CountsTheWaitOfALaterStartFromWhenItIsReady)
{
    PendingSteps steps;
    JobEntry& entry = steps.add(urgentJob("again", 1, now));
    for (const std::int32_t index : { 0, 1 }) {
        entry.progress.place({ 0, 0, index }, 1, WorkerName("w"), { 1, 1 });
        entry.progress.recordEnd({ 0, 0, index }, 1, RunEnd::Stopped, "", now);
    }
    const absl::Time later = now + absl::Seconds(20);
    EXPECT_FALSE(steps.at(later).mayReclaim);
    EXPECT_EQ(steps.at(later).startBy, later + guaranteeBound);
}

// Guards against a negative or endless wait because of a node whose clock is wrong.
TEST(AllocationInputTest, ClampsTheTimeOfAcceptanceToTheBound)
{
    PendingSteps early;
    early.add(urgentJob("early", 1, now - absl::Hours(1)));
    EXPECT_EQ(early.at(now).startBy, now);
    PendingSteps late;
    late.add(urgentJob("late", 1, now + absl::Hours(1)));
    EXPECT_EQ(late.at(now).startBy, now + guaranteeBound);
}

// Guards against a wait that suits only one deployment's bound.
TEST(AllocationInputTest, EnforcesAGuaranteeSoonerWhereItsBoundIsShorter)
{
    PendingSteps usual;
    usual.add(urgentJob("a", 1, now));
    EXPECT_FALSE(usual.at(now + absl::Milliseconds(800)).mayReclaim);
    EXPECT_TRUE(usual.at(now + absl::Milliseconds(900)).mayReclaim);
    PendingSteps shorter(absl::Milliseconds(2700));
    shorter.add(urgentJob("a", 1, now));
    EXPECT_FALSE(shorter.at(now).mayReclaim);
    EXPECT_TRUE(shorter.at(now + absl::Milliseconds(200)).mayReclaim);
}

} // namespace
} // namespace mangohall::batch
