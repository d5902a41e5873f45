#include "core/token_bucket_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

TEST(TokenBucket, GivesItsCapacityAtOnceAndIsRefilledAtItsRate)
{
    TokenBucket bucket(2, 3, now);
    for (int token = 0; token < 3; ++token)
        EXPECT_TRUE(bucket.tryTake(now));
    EXPECT_FALSE(bucket.tryTake(now));
    EXPECT_FALSE(bucket.tryTake(now + absl::Milliseconds(400)));
    EXPECT_TRUE(bucket.tryTake(now + absl::Milliseconds(500)));
    EXPECT_FALSE(bucket.tryTake(now + absl::Milliseconds(900)));
}

TEST(TokenBucket, KeepsNoMoreThanItsCapacity)
{
    TokenBucket bucket(100, 2, now);
    const absl::Time later = now + absl::Seconds(10);
    EXPECT_TRUE(bucket.tryTake(later));
    EXPECT_TRUE(bucket.tryTake(later));
    EXPECT_FALSE(bucket.tryTake(later));
}

} // namespace
} // namespace mangohall
