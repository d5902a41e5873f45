// Bursts of jobs, many cancellations at once, jobs that can never be placed, and queue limits.
#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "core/error_func.h"
#include "job/job_ledger_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

TEST(Load, ServesABurstOfSmallAndLargeJobs)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    std::vector<CallerId> callers;
    for (int job = 0; job < 400; ++job) {
        const JobSpec spec = job % 20 == 0 ? gang(8, 4, Adjacency::SameRack, absl::Seconds(2))
                                           : singleTask(absl::Seconds(1), 1 + job % 3);
        callers.push_back(cluster.submit(job % 2 == 0 ? "e0" : "e1", "small", absl::StrCat("k-", job), spec));
    }
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(5)));
    for (int job = 0; job < 400; ++job) {
        EXPECT_EQ(cluster.kindOf(callers[job]), ErrorKind::None) << job;
        EXPECT_EQ(cluster.executionsOf("small", absl::StrCat("k-", job)), job % 20 == 0 ? 8 : 1) << job;
    }
}

TEST(Load, HandlesManyCancellationsAtOnce)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    std::vector<CallerId> callers;
    callers.reserve(500);
    for (int job = 0; job < 500; ++job)
        callers.push_back(cluster.submit("e0", "small", absl::StrCat("k-", job), nonIdempotentJob(absl::Minutes(30))));
    cluster.runFor(absl::Seconds(5));
    for (int job = 0; job < 500; ++job)
        cluster.sendRequest(
            "e1", CancelRequest { { OrganisationName("small"), absl::StrCat("k-", job) }, absl::Minutes(1) }, "small");
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(60)));
    for (int job = 0; job < 500; ++job)
        expectAnswerMatchesExecutions(
            cluster, callers[job], "small", absl::StrCat("k-", job), absl::StrCat("job ", job));
    // The capacity is free again.
    const CallerId next = cluster.submit("e0", "small", "next", gang(32, 1, Adjacency::SameRack, absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Seconds(30)));
    EXPECT_EQ(cluster.kindOf(next), ErrorKind::None);
}

TEST(Load, RefusesImpossibleJobsAndServesTheRest)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    std::vector<CallerId> impossible;
    std::vector<CallerId> possible;
    for (int job = 0; job < 50; ++job) {
        impossible.push_back(cluster.submit(
            "e0", "small", absl::StrCat("no-", job), gang(40, 8, Adjacency::SameRack, absl::Seconds(1))));
        possible.push_back(cluster.submit("e0", "small", absl::StrCat("yes-", job), singleTask(absl::Seconds(1))));
    }
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(1)));
    for (int job = 0; job < 50; ++job) {
        EXPECT_EQ(cluster.kindOf(impossible[job]), ErrorKind::NeverFits) << job;
        EXPECT_EQ(cluster.kindOf(possible[job]), ErrorKind::None) << job;
    }
}

TEST(Load, RefusesBeyondTheQueueLimitAndServesAgainLater)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    cluster.put("e0", Organisation { OrganisationName("small"), 1, 2, 0 });
    cluster.runFor(absl::Seconds(5));
    std::vector<CallerId> callers;
    callers.reserve(600);
    for (int job = 0; job < 600; ++job)
        callers.push_back(cluster.submit("e0", "small", absl::StrCat("k-", job), singleTask(absl::Seconds(2), 8)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(5)));
    int refused = 0;
    for (int job = 0; job < 600; ++job) {
        const ErrorKind kind = cluster.kindOf(callers[job]);
        EXPECT_TRUE(kind == ErrorKind::None || kind == ErrorKind::QueueFull) << job << " " << errorRow(kind).name;
        refused += kind == ErrorKind::QueueFull ? 1 : 0;
        expectAnswerMatchesExecutions(
            cluster, callers[job], "small", absl::StrCat("k-", job), absl::StrCat("job ", job));
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, 600);
    const CallerId later = cluster.submit("e0", "small", "later", singleTask(absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(1)));
    EXPECT_EQ(cluster.kindOf(later), ErrorKind::None);
}

// A ledger bucket stays within the largest value that the store accepts; jobs beyond it are refused.
TEST(Load, RefusesWhatTheLedgerCannotKeep)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    // All keys are in one ledger shard, which has eight buckets.
    std::vector<CallerId> callers;
    for (int index = 0; callers.size() < 80; ++index) {
        const std::string key = absl::StrCat("k-", index);
        if (homeShardOf({ OrganisationName("small"), key }) != ledgerShardName(0))
            continue;
        JobSpec spec = singleTask(absl::Hours(1), 8);
        spec.payload = absl::StrCat("{\"runMs\":3600000,\"echo\":\"", std::string(200ULL * 1024, 'x'), "\"}");
        callers.push_back(cluster.submit("e0", "small", key, spec, absl::Hours(1)));
        cluster.runFor(absl::Milliseconds(50));
    }
    cluster.runFor(absl::Seconds(20));
    constexpr std::size_t storeLimit = 1000ULL * 1000;
    int refused = 0;
    for (const CallerId caller : callers) {
        if (cluster.log(caller).isFinished) {
            EXPECT_EQ(cluster.kindOf(caller), ErrorKind::QueueFull);
            ++refused;
        }
    }
    EXPECT_GT(refused, 0);
    for (const StoreEntry& entry : cluster.store().list("ledger/")) {
        const auto* bucket = std::get_if<LedgerBucket>(&entry.value);
        std::size_t bytes = 0;
        for (const JobRecord& record : bucket->jobs)
            bytes += record.spec.payload.size();
        EXPECT_LE(bytes, storeLimit) << entry.key;
    }
}

} // namespace
} // namespace mangohall
