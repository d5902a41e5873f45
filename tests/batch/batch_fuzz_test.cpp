// Runs random histories with fixed seeds. MANGOHALL_FUZZ_SEED sets the first seed, and MANGOHALL_FUZZ_RUNS the number
// of seeds. If MANGOHALL_FUZZ_TRACE is set, the decisions of the nodes are written to standard error.
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "batch/batch_fuzz_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr int defaultRuns = 60;

int environmentNumber(const char* variable, int fallback)
{
    int number = fallback;
    const char* text = std::getenv(variable);
    return text != nullptr && absl::SimpleAtoi(text, &number) ? number : fallback;
}

// Runs the histories of the seeds, and fails the test for each violation.
void runHistories(bool hasTakeovers, bool hasFlaps = false)
{
    const int first = environmentNumber("MANGOHALL_FUZZ_SEED", 1);
    const int runs = environmentNumber("MANGOHALL_FUZZ_RUNS", defaultRuns);
    for (int seed = first; seed < first + runs; ++seed) {
        FuzzOptions options;
        options.hasTakeovers = hasTakeovers;
        options.hasFlaps = hasFlaps;
        options.isTraced = std::getenv("MANGOHALL_FUZZ_TRACE") != nullptr;
        options.seed = static_cast<std::uint64_t>(seed);
        const std::vector<std::string> violations = BatchFuzz(options).run();
        EXPECT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
    }
}

TEST(BatchFuzz, KeepsEveryPromiseThroughRandomHistories)
{
    runHistories(false);
}

TEST(BatchFuzz, KeepsEveryPromiseWhileAddressesAreTakenOver)
{
    runHistories(true);
}

// Guards against waits without a bound: workers that come and go for ever must not hold up a job for ever.
TEST(BatchFuzz, KeepsEveryPromiseWhileWorkersComeAndGo)
{
    runHistories(false, true);
}

// Guards against LIMIT: a commit that got no answer was sent again in parts, so that a placement was made twice of the
// same room: the record of the first, which had been withdrawn, stood when the next owner read it.
TEST(BatchFuzz, KeepsEveryPromiseInHistoriesThatOnceFailed)
{
    const std::vector<FuzzOptions> failed { { .seed = 837 }, { .seed = 2236 }, { .seed = 475, .hasTakeovers = true },
        { .seed = 837, .hasFlaps = true }, { .seed = 2568, .hasFlaps = true } };
    for (const FuzzOptions& options : failed) {
        const std::vector<std::string> violations = BatchFuzz(options).run();
        EXPECT_TRUE(violations.empty()) << "seed " << options.seed << ": " << absl::StrJoin(violations, "; ");
    }
}

// Whether one of the random histories reports a violation after a fault has been planted in the cluster.
template <typename PlantFault> bool findsViolation(PlantFault plantFault, int maxRuns = 300, bool hasTakeovers = false)
{
    for (int seed = 1; seed <= maxRuns; ++seed) {
        FuzzOptions options;
        options.hasTakeovers = hasTakeovers;
        options.seed = static_cast<std::uint64_t>(seed);
        BatchFuzz fuzz(options);
        plantFault(fuzz.cluster());
        if (!fuzz.run().empty())
            return true;
    }
    return false;
}

TEST(BatchFuzzPlantedFault, DetectsAStoreThatAcceptsStaleCommits)
{
    EXPECT_TRUE(findsViolation([](BatchCluster& cluster) { cluster.store().setAcceptsStale(true); }));
}

TEST(BatchFuzzPlantedFault, DetectsWorkersThatExecuteCommandsBeyondTheLongestDelay)
{
    constexpr int maxRuns = 1000;
    const auto plantFault = [](BatchCluster& cluster) { cluster.workers().setLongestDelay(absl::Seconds(40)); };
    EXPECT_TRUE(findsViolation(plantFault, maxRuns));
}

TEST(BatchFuzzPlantedFault, DetectsWorkersThatExecuteAStartAgain)
{
    EXPECT_TRUE(findsViolation([](BatchCluster& cluster) { cluster.workers().setRepeatsStarts(true); }));
}

// A call that is refused at an address which another worker has taken over says that the worker has ended.
TEST(BatchFuzzPlantedFault, DetectsWorkersThatRunOnAfterTheirAddressIsTakenOver)
{
    const auto plantFault = [](BatchCluster& cluster) { cluster.workers().setOutlivesTakeover(true); };
    EXPECT_TRUE(findsViolation(plantFault, 300, true));
}

TEST(BatchFuzzPlantedFault, DetectsWorkersThatForgetStops)
{
    EXPECT_TRUE(findsViolation([](BatchCluster& cluster) { cluster.workers().setForgetsStops(true); }));
}

// A worker's next process knows none of the epochs that the earlier one has seen, so no promise may rest on a worker
// that remembers them.
TEST(BatchFuzz, KeepsEveryPromiseWithWorkersThatObeyAnyEpoch)
{
    EXPECT_FALSE(findsViolation([](BatchCluster& cluster) { cluster.workers().setObeysAnyEpoch(true); }));
}

} // namespace
} // namespace mangohall::batch
