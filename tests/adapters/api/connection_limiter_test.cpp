// Limits of open connections, in total and for each client.
#include "adapters/api/connection_limiter_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

TEST(ConnectionLimiter, LimitsEachClientAndAllTogether)
{
    ConnectionLimiter limiter(3, 2);
    EXPECT_TRUE(limiter.add("10.0.0.1"));
    EXPECT_TRUE(limiter.add("10.0.0.1"));
    EXPECT_FALSE(limiter.add("10.0.0.1"));
    limiter.remove("10.0.0.1");
    EXPECT_TRUE(limiter.add("10.0.0.2"));
    EXPECT_FALSE(limiter.add("10.0.0.3"));
    EXPECT_EQ(limiter.count(), 4U);
}

TEST(ConnectionLimiter, ForgetsClosedConnections)
{
    ConnectionLimiter limiter(1, 1);
    EXPECT_TRUE(limiter.add("10.0.0.1"));
    limiter.remove("10.0.0.1");
    EXPECT_EQ(limiter.count(), 0U);
    EXPECT_TRUE(limiter.add("10.0.0.1"));
}

} // namespace
} // namespace mangohall
