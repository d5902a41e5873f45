#include "batch/owner/demand_func.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);
constexpr absl::Duration guaranteeBound = absl::Milliseconds(3400);

// One organisation with a guarantee of 16 accelerators.
RouteTable makeRoutes()
{
    Manifest manifest;
    manifest.organisations = { { OrganisationName("large"), { "key" }, 16 } };
    return RouteTable(manifest);
}

// An urgent job of steps of two tasks with four accelerators each, one after the other.
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

class Demands {
public:
    explicit Demands(absl::Duration bound = guaranteeBound)
        : m_fleet(SessionSettings())
        , m_routes(makeRoutes())
        , m_bound(bound)
    {
    }

    JobEntry& add(const Job& job)
    {
        m_book.add(job);
        m_book.openDue(now);
        return *m_book.find(job.id);
    }

    // The demand of the only step that waits at the time.
    StepDemand at(absl::Time time)
    {
        AllocationInput input = describeAllocation(m_fleet, m_book, &m_routes, m_bound, time);
        EXPECT_EQ(input.demands.size(), 1U);
        return input.demands.front();
    }

    bool isCovered(const std::string& job, absl::Time time)
    {
        for (const StepDemand& demand : describeAllocation(m_fleet, m_book, &m_routes, m_bound, time).demands) {
            if (demand.job == JobId(job))
                return demand.isGuaranteed;
        }
        return false;
    }

private:
    Fleet m_fleet;
    JobBook m_book;
    const RouteTable m_routes;
    const absl::Duration m_bound;
};

// Guards against guaranteed jobs that begin too late after a change of owner: the new one counted their wait from when
// it learned of them.
TEST(Demand, CountsTheWaitOfAGuaranteedJobFromItsAcceptance)
{
    Demands demands;
    demands.add(urgentJob("waiting", 1, now - absl::Seconds(2)));
    const StepDemand demand = demands.at(now);
    EXPECT_TRUE(demand.isGuaranteed);
    EXPECT_TRUE(demand.mayReclaim);
    EXPECT_EQ(demand.startBy, now + absl::Milliseconds(1400));
}

// Guards against the same for a wide step: each placed task began the wait of the others anew.
TEST(Demand, CountsTheWaitFromAcceptanceUntilEachTaskHasStartedOnce)
{
    Demands demands;
    JobEntry& entry = demands.add(urgentJob("half", 1, now));
    EXPECT_FALSE(demands.at(now).mayReclaim);
    entry.progress.place({ 0, 0, 0 }, 1, WorkerName("w"), 1);
    entry.readySince.clear();
    EXPECT_TRUE(demands.at(now + absl::Seconds(2)).mayReclaim);
}

TEST(Demand, CountsTheWaitOfALaterStartFromWhenItIsReady)
{
    Demands demands;
    JobEntry& entry = demands.add(urgentJob("again", 1, now));
    for (const std::int32_t index : { 0, 1 }) {
        entry.progress.place({ 0, 0, index }, 1, WorkerName("w"), 1);
        entry.progress.noteEnd({ 0, 0, index }, 1, RunEnd::Stopped, "", now);
    }
    const absl::Time later = now + absl::Seconds(20);
    EXPECT_FALSE(demands.at(later).mayReclaim);
    EXPECT_EQ(demands.at(later).startBy, later + guaranteeBound);
}

// A node whose clock is off must not make a wait negative or endless.
TEST(Demand, TrustsTheTimeOfAcceptanceWithinTheBoundOnly)
{
    Demands early;
    early.add(urgentJob("early", 1, now - absl::Hours(1)));
    EXPECT_EQ(early.at(now).startBy, now);
    Demands late;
    late.add(urgentJob("late", 1, now + absl::Hours(1)));
    EXPECT_EQ(late.at(now).startBy, now + guaranteeBound);
}

// Guards against a wait that is right for one deployment's bound only.
TEST(Demand, EnforcesAGuaranteeSoonerWhereItsBoundIsShorter)
{
    Demands usual;
    usual.add(urgentJob("a", 1, now));
    EXPECT_FALSE(usual.at(now + absl::Milliseconds(800)).mayReclaim);
    EXPECT_TRUE(usual.at(now + absl::Milliseconds(900)).mayReclaim);
    Demands shorter(absl::Milliseconds(2700));
    shorter.add(urgentJob("a", 1, now));
    EXPECT_FALSE(shorter.at(now).mayReclaim);
    EXPECT_TRUE(shorter.at(now + absl::Milliseconds(200)).mayReclaim);
}

} // namespace
} // namespace mangohall::batch
