#include "dispatch/dispatcher_base.h"

#include "absl/strings/str_cat.h"
#include "core/seeded_random_base.h"
#include "fakes/manual_clock_base.h"
#include "placement/placement_fixture.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A FIFO queue whose visits advance the clock by `cost` and add it to `spent`.
class SlowQueue : public WaitingQueue {
public:
    SlowQueue(ManualClock& clock, absl::Duration cost, absl::Duration& spent)
        : m_queue(makeFifoQueue())
        , m_clock(clock)
        , m_cost(cost)
        , m_spent(spent)
    {
    }

    void setOrganisations(absl::Span<const Organisation> organisations) override
    {
        m_queue->setOrganisations(organisations);
    }
    Organisation organisation(const OrganisationName& name) const override { return m_queue->organisation(name); }
    absl::Status testPush(const WaitingRequest& request) const override { return m_queue->testPush(request); }
    absl::Status push(const WaitingRequest& request) override { return m_queue->push(request); }
    bool remove(const AttemptId& attempt) override { return m_queue->remove(attempt); }
    bool contains(const AttemptId& attempt) const override { return m_queue->contains(attempt); }
    void charge(const OrganisationName& organisation, absl::Duration acceleratorTime, absl::Time now) override
    {
        m_queue->charge(organisation, acceleratorTime, now);
    }
    void visit(absl::Time now, CandidateVisitor& visitor) override
    {
        m_queue->visit(now, visitor);
        m_clock.advance(m_cost);
        m_spent += m_cost;
    }
    std::size_t size() const override { return m_queue->size(); }
    std::vector<Shape> shapes() const override { return m_queue->shapes(); }

private:
    const std::unique_ptr<WaitingQueue> m_queue;
    ManualClock& m_clock;
    const absl::Duration m_cost;
    absl::Duration& m_spent;
};

// A dispatcher whose scheduling passes take `cost` each.
class SlowDispatcher {
public:
    explicit SlowDispatcher(absl::Duration cost)
        : m_random(1)
        , m_dispatcher(testShard, 1, makeCellPool(testShard), std::make_unique<SlowQueue>(m_clock, cost, m_spent),
              m_random, m_outbox, m_clock)
    {
    }

    // Sends a request that has to wait, since the shard has no workers yet.
    void reserveOne()
    {
        ReserveCapacity message;
        message.attempt.job = { OrganisationName("large"), absl::StrCat("job-", ++m_jobs) };
        message.home = ShardName("ledger-0");
        message.spec.shape.acceleratorsPerTask = 1;
        message.spec.deadline = absl::Hours(1);
        message.acceptedAt = m_clock.now();
        m_dispatcher.reserve(message, m_clock.now());
    }

    void advance(absl::Duration step) { m_clock.advance(step); }
    void wakeIfDue()
    {
        if (m_dispatcher.nextWake() <= m_clock.now())
            m_dispatcher.wake(m_clock.now());
    }
    absl::Time now() const { return m_clock.now(); }
    absl::Duration spent() const { return m_spent; }

private:
    ManualClock m_clock;
    absl::Duration m_spent;
    SeededRandom m_random;
    Outbox m_outbox;
    Dispatcher m_dispatcher;
    int m_jobs = 0;
};

// Guards against the cause of the RECLAIM incident in schedulers: if every event starts a pass, however long passes
// take, no time is left for heartbeats and claims.
TEST(Dispatcher, LimitsTheShareOfTimeSpentInPasses)
{
    SlowDispatcher dispatcher(absl::Milliseconds(30));
    const absl::Time begun = dispatcher.now();
    for (int event = 0; event < 200; ++event) {
        dispatcher.reserveOne();
        dispatcher.advance(absl::Milliseconds(5));
        dispatcher.wakeIfDue();
    }
    // A quarter of the time, plus the longest burst and the last pass.
    EXPECT_LE(dispatcher.spent(), (dispatcher.now() - begun) * 0.25 + absl::Milliseconds(130));
    EXPECT_GT(dispatcher.spent(), absl::Milliseconds(100));
}

// A delayed pass runs once its share of time allows it, without another event.
TEST(Dispatcher, RunsADelayedPassWithoutAnotherEvent)
{
    SlowDispatcher dispatcher(absl::Milliseconds(200));
    dispatcher.reserveOne();
    const absl::Duration first = dispatcher.spent();
    dispatcher.reserveOne();
    EXPECT_EQ(dispatcher.spent(), first);
    dispatcher.advance(absl::Seconds(2));
    dispatcher.wakeIfDue();
    EXPECT_EQ(dispatcher.spent(), 2 * first);
}

// A clock that is set back must not delay passes until it has caught up.
TEST(Dispatcher, DoesNotDelayPassesAfterTheClockWasSetBack)
{
    SlowDispatcher dispatcher(absl::Milliseconds(200));
    dispatcher.reserveOne();
    const absl::Duration first = dispatcher.spent();
    dispatcher.advance(-absl::Hours(1));
    dispatcher.reserveOne();
    EXPECT_EQ(dispatcher.spent(), 2 * first);
}

TEST(Dispatcher, DoesNotDelayShortPasses)
{
    SlowDispatcher dispatcher(absl::Microseconds(50));
    for (int event = 0; event < 20; ++event)
        dispatcher.reserveOne();
    EXPECT_EQ(dispatcher.spent(), absl::Milliseconds(1));
}

} // namespace
} // namespace mangohall
