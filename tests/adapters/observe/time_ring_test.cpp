#include "adapters/observe/time_ring_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000040);

TEST(TimeRing, CountsTheEventsInTheWindow)
{
    TimeRing ring(absl::Minutes(1), 10);
    ring.add(start, true);
    ring.add(start + absl::Minutes(4), false);
    ring.add(start + absl::Minutes(5), true);
    EXPECT_EQ(ring.sum(start + absl::Minutes(5), absl::Minutes(2)), (ObjectiveCount { 1, 1 }));
    EXPECT_EQ(ring.sum(start + absl::Minutes(5), absl::Minutes(6)), (ObjectiveCount { 2, 1 }));
    EXPECT_EQ(ring.sum(start + absl::Minutes(4), absl::Minutes(1)), (ObjectiveCount { 0, 1 }));
}

TEST(TimeRing, OverwritesOlderBucketsButNotNewerOnes)
{
    TimeRing ring(absl::Minutes(1), 10);
    ring.add(start, true);
    ring.add(start + absl::Minutes(10), false);
    ring.add(start, true);
    EXPECT_EQ(ring.buckets().size(), 1U);
    EXPECT_EQ(ring.buckets().at(0).count, (ObjectiveCount { 0, 1 }));
}

TEST(TimeRing, AddsTheBucketsOfAnotherNode)
{
    TimeRing first(absl::Minutes(1), 10);
    TimeRing second(absl::Minutes(1), 10);
    first.add(start, true);
    second.add(start, false);
    second.add(start + absl::Minutes(1), true);
    first.merge(second.buckets());
    EXPECT_EQ(first.sum(start + absl::Minutes(1), absl::Minutes(2)), (ObjectiveCount { 2, 1 }));
}

} // namespace
} // namespace mangohall
