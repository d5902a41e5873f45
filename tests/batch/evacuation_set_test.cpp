#include "batch/evacuation/evacuation_set_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {

namespace {

const DataCentreName north("north");
const DataCentreName south("south");

Record requested(const DataCentreName& dataCentre, Revision revision)
{
    return { { Collection::Evacuations, dataCentre.str() }, revision, Evacuation() };
}

Record withdrawn(const DataCentreName& dataCentre, Revision revision)
{
    return { { Collection::Evacuations, dataCentre.str() }, revision, std::monostate() };
}

TEST(EvacuationSet, FollowsRequestsAndWithdrawals)
{
    EvacuationSet evacuations;
    ASSERT_EQ(evacuations.apply({ requested(north, 3), requested(south, 4) }, false).size(), 2U);
    EXPECT_TRUE(evacuations.contains(north));
    EXPECT_TRUE(evacuations.contains(south));
    const std::vector<EvacuationSet::Change> changes = evacuations.apply({ withdrawn(north, 5) }, false);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().dataCentre, north);
    EXPECT_FALSE(changes.front().isEvacuated);
    EXPECT_FALSE(evacuations.contains(north));
    EXPECT_TRUE(evacuations.contains(south));
    ASSERT_EQ(evacuations.apply({ requested(north, 6) }, false).size(), 1U);
    EXPECT_TRUE(evacuations.contains(north));
}

// Guards against a request that is followed for ever since its withdrawal fell into a gap of the watch.
TEST(EvacuationSet, EndsRequestsThatACompleteReadDoesNotShow)
{
    EvacuationSet evacuations;
    evacuations.apply({ requested(north, 3), requested(south, 4) }, false);
    const std::vector<EvacuationSet::Change> changes = evacuations.apply({ requested(south, 4) }, true);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().dataCentre, north);
    EXPECT_FALSE(evacuations.contains(north));
    EXPECT_TRUE(evacuations.contains(south));
}

TEST(EvacuationSet, ReportsNoChangeForARequestThatIsWrittenAgain)
{
    EvacuationSet evacuations;
    evacuations.apply({ requested(north, 3) }, false);
    EXPECT_TRUE(evacuations.apply({ requested(north, 7) }, false).empty());
    EXPECT_TRUE(evacuations.apply({ withdrawn(south, 8) }, false).empty());
}

TEST(EvacuationSet, IgnoresOtherRecords)
{
    EvacuationSet evacuations;
    const Record manifest { { Collection::Manifest, "" }, 2, Manifest() };
    EXPECT_TRUE(evacuations.apply({ manifest }, true).empty());
}

} // namespace

} // namespace mangohall::batch
