// Waiting jobs move to shards with free capacity.
#include "absl/strings/str_cat.h"
#include "cluster/cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

TEST(Routing, MovesWaitingJobsToTheShardWithFreeCapacity)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    // Each of these gangs fills one data centre. The third ends after 20 s.
    cluster.submit("e0", "large", "long-1", gang(64, 1, Adjacency::SameDataCentre, absl::Hours(2)), absl::Hours(3));
    cluster.submit("e0", "large", "long-2", gang(64, 1, Adjacency::SameDataCentre, absl::Hours(2)), absl::Hours(3));
    const CallerId shorter = cluster.submit(
        "e0", "large", "short", gang(64, 1, Adjacency::SameDataCentre, absl::Seconds(20)), absl::Hours(3));
    cluster.runFor(absl::Seconds(5));
    std::vector<CallerId> waiting;
    waiting.reserve(12);
    for (int job = 0; job < 12; ++job)
        waiting.push_back(cluster.submit("e1", "small", absl::StrCat("w", job), singleTask(absl::Seconds(1))));
    cluster.runFor(absl::Minutes(2));
    EXPECT_EQ(cluster.kindOf(shorter), ErrorKind::None);
    EXPECT_EQ(cluster.executionsOf("large", "long-1"), 64);
    EXPECT_EQ(cluster.executionsOf("large", "long-2"), 64);
    for (const CallerId caller : waiting)
        EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
}

} // namespace
} // namespace mangohall
