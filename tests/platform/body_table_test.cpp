// The decisions on unfinished request bodies, without HTTP.
#include "platform/body_table_base.h"

#include <vector>

#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall::platform {
namespace {

class FakeReceiver : public BodyReceiver {
public:
    void discard() override { ++m_discards; }
    int discards() const { return m_discards; }

private:
    int m_discards = 0;
};

class FakeObserver : public BodyObserver {
public:
    void onBodyEnd(BodyEnd end, std::uint64_t /*total*/) override { m_ends.push_back(end); }
    const std::vector<BodyEnd>& ends() const { return m_ends; }

private:
    std::vector<BodyEnd> m_ends;
};

class BodyTableTest : public testing::Test {
protected:
    ManualClock m_clock;
    FakeObserver m_observer;
    BodyTable m_table { { 100, absl::Seconds(30) }, m_clock, &m_observer };
    FakeReceiver m_first;
    FakeReceiver m_second;
    FakeReceiver m_third;
};

// Guards against clients that hold the whole budget with bodies they never complete.
TEST_F(BodyTableTest, EvictsTheBodyThatHasGoneLongestWithoutData)
{
    const BodyId first = m_table.open(m_first);
    const BodyId second = m_table.open(m_second);
    const BodyId third = m_table.open(m_third);
    EXPECT_TRUE(m_table.grow(first, 50));
    EXPECT_TRUE(m_table.grow(second, 50));
    // Data that needs no more room counts as data.
    EXPECT_TRUE(m_table.grow(first, 0));
    EXPECT_TRUE(m_table.grow(third, 10));
    EXPECT_EQ(m_first.discards(), 0);
    EXPECT_EQ(m_second.discards(), 1);
    EXPECT_EQ(m_table.heldBytes(), 60U);
    EXPECT_EQ(m_observer.ends(), std::vector<BodyEnd> { BodyEnd::Evicted });
    EXPECT_FALSE(m_table.grow(second, 1));
}

// Guards against evicting bodies that hold nothing, or more bodies than needed.
TEST_F(BodyTableTest, EvictsOnlyAsManyAsNeededAndNoneThatHoldsNothing)
{
    m_table.open(m_first);
    const BodyId second = m_table.open(m_second);
    const BodyId third = m_table.open(m_third);
    EXPECT_TRUE(m_table.grow(second, 60));
    EXPECT_TRUE(m_table.grow(third, 40));
    EXPECT_TRUE(m_table.grow(third, 60));
    EXPECT_EQ(m_first.discards(), 0);
    EXPECT_EQ(m_second.discards(), 1);
    EXPECT_EQ(m_table.heldBytes(), 100U);
}

// Guards against clients that occupy every connection with bodies they never complete, with or without data.
TEST_F(BodyTableTest, EvictsTheLongestSilentBodyWhetherOrNotItHoldsAnything)
{
    const BodyId first = m_table.open(m_first);
    m_clock.advance(absl::Seconds(1));
    m_table.open(m_second);
    m_clock.advance(absl::Seconds(1));
    EXPECT_TRUE(m_table.grow(first, 10));
    m_clock.advance(absl::Seconds(1));
    m_table.open(m_third);
    m_table.evictLongestSilent();
    EXPECT_EQ(m_second.discards(), 1);
    m_table.evictLongestSilent();
    EXPECT_EQ(m_first.discards(), 1);
    EXPECT_EQ(m_table.heldBytes(), 0U);
    m_table.evictLongestSilent();
    EXPECT_EQ(m_third.discards(), 1);
    m_table.evictLongestSilent();
    EXPECT_EQ(m_table.size(), 0U);
    EXPECT_EQ(m_table.endCount(BodyEnd::Evicted), 3U);
}

// Guards against evicting others in vain for a body that cannot fit, and against a budget that it keeps.
TEST_F(BodyTableTest, RefusesABodyThatExceedsTheWholeBudget)
{
    const BodyId first = m_table.open(m_first);
    const BodyId second = m_table.open(m_second);
    EXPECT_TRUE(m_table.grow(first, 30));
    EXPECT_TRUE(m_table.grow(second, 40));
    EXPECT_FALSE(m_table.grow(second, 61));
    EXPECT_EQ(m_first.discards(), 0);
    EXPECT_EQ(m_second.discards(), 0);
    EXPECT_EQ(m_table.heldBytes(), 30U);
    EXPECT_EQ(m_table.endCount(BodyEnd::Refused), 1U);
    m_table.close(second);
    EXPECT_TRUE(m_table.grow(first, 70));
}

// Guards against a body that holds memory for ever because its client sends a little from time to time.
TEST_F(BodyTableTest, AbandonsABodyThatIsNotCompleteInTime)
{
    const BodyId first = m_table.open(m_first);
    m_clock.advance(absl::Seconds(10));
    const BodyId second = m_table.open(m_second);
    m_clock.advance(absl::Seconds(19));
    EXPECT_TRUE(m_table.grow(first, 10));
    EXPECT_TRUE(m_table.grow(second, 10));
    m_table.abandonExpired();
    EXPECT_EQ(m_first.discards(), 0);
    m_clock.advance(absl::Seconds(1));
    m_table.abandonExpired();
    EXPECT_EQ(m_first.discards(), 1);
    EXPECT_EQ(m_second.discards(), 0);
    EXPECT_EQ(m_table.heldBytes(), 10U);
    EXPECT_EQ(m_observer.ends(), std::vector<BodyEnd> { BodyEnd::Abandoned });
}

// Guards against a budget that leaks until everything is refused.
TEST_F(BodyTableTest, HoldsNothingAfterEachKindOfEnd)
{
    const BodyId completed = m_table.open(m_first);
    EXPECT_TRUE(m_table.grow(completed, 70));
    m_table.close(completed);
    m_table.close(completed);
    EXPECT_EQ(m_table.heldBytes(), 0U);

    const BodyId evicted = m_table.open(m_first);
    EXPECT_TRUE(m_table.grow(evicted, 70));
    const BodyId abandoned = m_table.open(m_second);
    EXPECT_TRUE(m_table.grow(abandoned, 70));
    EXPECT_EQ(m_first.discards(), 1);
    EXPECT_EQ(m_table.heldBytes(), 70U);
    m_clock.advance(absl::Seconds(30));
    m_table.abandonExpired();
    EXPECT_EQ(m_table.heldBytes(), 0U);

    const BodyId refused = m_table.open(m_third);
    EXPECT_TRUE(m_table.grow(refused, 70));
    EXPECT_FALSE(m_table.grow(refused, 70));
    EXPECT_EQ(m_table.heldBytes(), 0U);
    m_table.close(refused);
    EXPECT_EQ(m_table.size(), 0U);
}

// Guards against whole requests that wait for an answer and take as much memory as callers send.
TEST_F(BodyTableTest, CountsARequestUntilItIsAnswered)
{
    const BodyId first = m_table.open(m_first);
    const BodyId second = m_table.open(m_second);
    EXPECT_TRUE(m_table.grow(first, 60));
    EXPECT_TRUE(m_table.grow(second, 40));
    std::unique_ptr<BodyReservation> request = m_table.complete(first, 80);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(m_second.discards(), 1);
    EXPECT_EQ(m_table.size(), 0U);
    EXPECT_EQ(m_table.heldBytes(), 80U);
    // Nothing is left for another request, nor for a body: requests are not evicted.
    EXPECT_EQ(m_table.complete(0, 21), nullptr);
    const BodyId third = m_table.open(m_third);
    EXPECT_FALSE(m_table.grow(third, 21));
    EXPECT_TRUE(m_table.grow(third, 20));
    EXPECT_EQ(m_table.endCount(BodyEnd::Refused), 2U);
    request.reset();
    EXPECT_EQ(m_table.heldBytes(), 20U);
    m_table.close(third);
    EXPECT_EQ(m_table.heldBytes(), 0U);
}

// Guards against large requests that leave no room for those of ordinary callers.
TEST(BodyTable, LeavesAQuarterOfTheBudgetToSmallRequests)
{
    ManualClock clock;
    BodyTable table({ 16 * smallRequestBytes, absl::Seconds(30) }, clock, nullptr);
    const std::unique_ptr<BodyReservation> large = table.complete(0, 12 * smallRequestBytes);
    ASSERT_NE(large, nullptr);
    EXPECT_EQ(table.complete(0, smallRequestBytes + 1), nullptr);
    EXPECT_NE(table.complete(0, smallRequestBytes), nullptr);
}

} // namespace
} // namespace mangohall::platform
