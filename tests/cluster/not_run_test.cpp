// An answer that the job did not run is true and stays true.
#include "absl/strings/str_cat.h"
#include "cluster/scenario_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration answerTimeout = absl::Minutes(4);

CallerId cancel(Cluster& cluster, const std::string& entry, const std::string& key, absl::Duration wait)
{
    return cluster.sendRequest(entry, CancelRequest { { OrganisationName("small"), key }, wait }, "small");
}

TEST(NotRun, HoldsWhenACancelRacesTheStart)
{
    for (int offsetMs = 0; offsetMs <= maxFaultOffsetMs; ++offsetMs) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(20)));
        cluster.runFor(absl::Milliseconds(offsetMs));
        const CallerId canceller = cancel(cluster, "e1", "k", absl::Minutes(1));
        ASSERT_TRUE(cluster.runUntilAnswered(absl::Minutes(2))) << offsetMs;
        const ErrorKind kind = cluster.kindOf(caller);
        const bool isCancelled = kind == ErrorKind::CancelledBeforeRun || kind == ErrorKind::CancelledWhileRunning;
        EXPECT_TRUE(isCancelled) << "cancel at " << offsetMs << " ms";
        EXPECT_EQ(cluster.kindOf(canceller), kind) << offsetMs;
        cluster.runFor(absl::Seconds(40));
        expectAnswerMatchesExecutions(cluster, caller, "small", "k", absl::StrCat("cancel at ", offsetMs, " ms"));
    }
}

// A cancellation that was answered is kept when the owner of the home shard dies afterwards.
TEST(NotRun, KeepsACancellationWhoseHomeDies)
{
    for (int offsetMs = 0; offsetMs <= 30; ++offsetMs) {
        Cluster cluster { ClusterOptions() };
        cluster.declareBuilding();
        const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(60)));
        cluster.runFor(absl::Seconds(1));
        const CallerId canceller = cancel(cluster, "e1", "k", absl::Minutes(3));
        cluster.runFor(absl::Milliseconds(offsetMs));
        cluster.node(homeShardOwner(cluster, "small", "k")).kill();
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << offsetMs;
        EXPECT_EQ(cluster.kindOf(canceller), ErrorKind::CancelledWhileRunning)
            << "home killed " << offsetMs << " ms on";
        EXPECT_EQ(cluster.kindOf(caller), cluster.kindOf(canceller)) << offsetMs;
    }
}

TEST(NotRun, HoldsWhenStartAnswersAreLost)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    for (auto& [name, worker] : cluster.workerPool().workers())
        worker.losesAnswers = true;
    std::vector<CallerId> callers;
    callers.reserve(20);
    for (int job = 0; job < 20; ++job)
        callers.push_back(cluster.submit("e0", "small", absl::StrCat("k", job), nonIdempotentJob(absl::Seconds(2))));
    cluster.runFor(absl::Milliseconds(200));
    for (auto& [name, worker] : cluster.workerPool().workers())
        worker.losesAnswers = false;
    ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout));
    cluster.runFor(absl::Seconds(40));
    for (int job = 0; job < 20; ++job)
        expectAnswerMatchesExecutions(
            cluster, callers[job], "small", absl::StrCat("k", job), absl::StrCat("job ", job));
}

TEST(NotRun, BarsAKeyThatIsCancelledBeforeItComes)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const CallerId canceller = cancel(cluster, "e0", "k", absl::Seconds(5));
    cluster.runFor(absl::Seconds(6));
    EXPECT_EQ(cluster.kindOf(canceller), ErrorKind::CancelledBeforeRun);
    const CallerId late = cluster.submit("e1", "small", "k", nonIdempotentJob(absl::Seconds(1)));
    ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout));
    EXPECT_EQ(cluster.kindOf(late), ErrorKind::CancelledBeforeRun);
    EXPECT_EQ(cluster.executionsOf("small", "k"), 0);
}

// Duplicated submissions arrive late, when the reason for the refusal no longer holds, and must not be accepted then.
TEST(NotRun, HoldsForRefusedSubmissionsThatAreRepeatedLate)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ClusterOptions options;
        options.seed = seed;
        Cluster cluster(options);
        cluster.declareBuilding();
        Organisation narrow { OrganisationName("small"), 1, 1, 0 };
        cluster.put("e0", narrow);
        cluster.runFor(absl::Seconds(5));
        cluster.network().setDuplication(0.5);
        cluster.network().setJitter(absl::Seconds(1));
        std::vector<CallerId> callers;
        callers.reserve(200);
        for (int job = 0; job < 200; ++job)
            callers.push_back(
                cluster.submit("e0", "small", absl::StrCat("k", job), nonIdempotentJob(absl::Seconds(1))));
        ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout)) << "seed " << seed;
        cluster.runFor(absl::Seconds(40));
        for (int job = 0; job < 200; ++job)
            expectAnswerMatchesExecutions(
                cluster, callers[job], "small", absl::StrCat("k", job), absl::StrCat("seed ", seed, " job ", job));
    }
}

// An owner that was suspended and replaced must not refuse a submission that its successor has accepted.
TEST(NotRun, IsNotSaidByAnOwnerThatWasReplaced)
{
    Cluster cluster { ClusterOptions() };
    cluster.declareBuilding();
    const std::string home = homeShardOwner(cluster, "small", "k");
    cluster.put("e0", Organisation { OrganisationName("late"), 1, 10, 0 });
    cluster.node(home).pause();
    cluster.runFor(absl::Seconds(1));
    const CallerId caller = cluster.submit("e0", "small", "k", nonIdempotentJob(absl::Seconds(30)));
    const CallerId query
        = cluster.sendRequest("e1", QueryRequest { { OrganisationName("small"), "k" }, absl::Minutes(2) }, "small");
    cluster.runFor(absl::Seconds(12));
    cluster.node(home).resume();
    ASSERT_TRUE(cluster.runUntilAnswered(answerTimeout));
    expectAnswerMatchesExecutions(cluster, caller, "small", "k", "home paused");
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_NE(cluster.kindOf(query), ErrorKind::NotFound);
}

} // namespace
} // namespace mangohall
