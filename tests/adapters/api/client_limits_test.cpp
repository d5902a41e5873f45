// Counts of the uses of limits, and limits that follow from the memory of the process.
#include "adapters/api/limit_counts_base.h"
#include "adapters/api/memory_share_func.h"

#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A flood must not become a flood of log lines, and one kind must not hide another.
TEST(LimitCounts, LogsEachKindAtMostOnceASecond)
{
    ManualClock clock;
    LimitCounts counts(clock);
    EXPECT_TRUE(counts.add(ClientLimit::BodyEvicted));
    EXPECT_FALSE(counts.add(ClientLimit::BodyEvicted));
    EXPECT_TRUE(counts.add(ClientLimit::BodyRefused));
    clock.advance(absl::Milliseconds(999));
    EXPECT_FALSE(counts.add(ClientLimit::BodyEvicted));
    clock.advance(absl::Milliseconds(1));
    EXPECT_TRUE(counts.add(ClientLimit::BodyEvicted));
    EXPECT_EQ(counts.count(ClientLimit::BodyEvicted), 4U);
    EXPECT_EQ(counts.count(ClientLimit::BodyTooLarge), 0U);
}

TEST(MemoryShare, DerivesBudgetAndConnectionsFromTheMemory)
{
    constexpr std::size_t memoryBytes = std::size_t { 64 } << 20U;
    EXPECT_EQ(bodyBudgetBytesOf(memoryBytes), std::size_t { 16 } << 20U);
    EXPECT_EQ(connectionsOf(memoryBytes, 65536, 4096), 128U);
    EXPECT_EQ(connectionsOf(absl::nullopt, 65536, 4096), 4096U);
    EXPECT_EQ(connectionsOf(memoryBytes, 65536, 100), 100U);
    EXPECT_EQ(connectionsOf(memoryBytes, memoryBytes, 100), 1U);
}

} // namespace
} // namespace mangohall
