// Random histories at fixed seeds. MANGOHALL_FUZZ_SEED and MANGOHALL_FUZZ_RUNS play others; MANGOHALL_FUZZ_TRACE, if
// set, writes what the nodes decide.
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "batch/batch_fuzz_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr int fixedRuns = 60;

int numberFrom(const char* variable, int otherwise)
{
    int number = otherwise;
    const char* text = std::getenv(variable);
    return text != nullptr && absl::SimpleAtoi(text, &number) ? number : otherwise;
}

TEST(BatchFuzz, KeepsEveryPromiseThroughRandomHistories)
{
    const int first = numberFrom("MANGOHALL_FUZZ_SEED", 1);
    const int runs = numberFrom("MANGOHALL_FUZZ_RUNS", fixedRuns);
    for (int seed = first; seed < first + runs; ++seed) {
        FuzzOptions options;
        options.isTraced = std::getenv("MANGOHALL_FUZZ_TRACE") != nullptr;
        options.seed = static_cast<std::uint64_t>(seed);
        const std::vector<std::string> findings = BatchFuzz(options).run();
        EXPECT_TRUE(findings.empty()) << "seed " << seed << ": " << absl::StrJoin(findings, "; ");
    }
}

// Whether the random histories find anything once the rule is broken.
template <typename BreakRule> bool isFound(BreakRule breakRule)
{
    constexpr int mostRuns = 300;
    for (int seed = 1; seed <= mostRuns; ++seed) {
        FuzzOptions options;
        options.seed = static_cast<std::uint64_t>(seed);
        BatchFuzz fuzz(options);
        breakRule(fuzz.cluster());
        if (!fuzz.run().empty())
            return true;
    }
    return false;
}

TEST(BatchFuzzPlant, AStoreThatTakesStaleCommitsIsSeen)
{
    EXPECT_TRUE(isFound([](BatchCluster& cluster) { cluster.store().setAcceptsStale(true); }));
}

TEST(BatchFuzzPlant, WorkersThatObeyAnyEpochAreSeen)
{
    EXPECT_TRUE(isFound([](BatchCluster& cluster) { cluster.fleet().setObeysAnyEpoch(true); }));
}

TEST(BatchFuzzPlant, WorkersThatForgetStopsAreSeen)
{
    EXPECT_TRUE(isFound([](BatchCluster& cluster) { cluster.fleet().setForgetsStops(true); }));
}

} // namespace
} // namespace mangohall::batch
