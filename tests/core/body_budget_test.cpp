#include "core/body_budget_base.h"

#include "gtest/gtest.h"

namespace mangohall {

namespace {

TEST(BodyBudget, RefusesWhatExceedsTheLimit)
{
    BodyBudget budget(100);
    EXPECT_TRUE(budget.tryReserve(60));
    EXPECT_FALSE(budget.tryReserve(41));
    EXPECT_TRUE(budget.tryReserve(40));
    EXPECT_EQ(budget.usedBytes(), 100U);
    EXPECT_FALSE(budget.tryReserve(1));
    budget.release(60);
    EXPECT_TRUE(budget.tryReserve(60));
}

// Guards against a sum that overflows and lets an enormous body in.
TEST(BodyBudget, RefusesAnEnormousBody)
{
    BodyBudget budget(100);
    EXPECT_TRUE(budget.tryReserve(50));
    EXPECT_FALSE(budget.tryReserve(static_cast<std::size_t>(-1)));
    EXPECT_EQ(budget.usedBytes(), 50U);
}

// Guards against a budget that leaks until everything is refused.
TEST(BodyReservation, GivesEverythingBack)
{
    BodyBudget budget(100);
    {
        BodyReservation first(budget);
        EXPECT_TRUE(first.tryGrow(30));
        EXPECT_TRUE(first.tryGrow(30));
        EXPECT_FALSE(first.tryGrow(50));
        BodyReservation second(budget);
        EXPECT_TRUE(second.tryGrow(40));
        EXPECT_EQ(budget.usedBytes(), 100U);
        first.release();
        EXPECT_EQ(budget.usedBytes(), 40U);
        EXPECT_EQ(first.bytes(), 0U);
    }
    EXPECT_EQ(budget.usedBytes(), 0U);
}

} // namespace

} // namespace mangohall
