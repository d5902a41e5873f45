// Compares the placement policy with first fit in the order of arrival. Prints one JSON line for each metric, the same
// for the same seeds.
#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "policy_trial_base.h"

namespace mangohall {
namespace {

constexpr std::uint64_t seeds[] = { 1, 2, 3 };
constexpr double completionWeights[] = { 0.8, 0.2 };

// A metric and the name that it is printed under.
struct NamedMetric {
    absl::string_view name;
    double TrialMetrics::*value;
};

constexpr NamedMetric namedMetrics[] = {
    { "completionMedianMs", &TrialMetrics::completionMedianMs },
    { "completionP99Ms", &TrialMetrics::completionP99Ms },
    { "completionFloorP99Ms", &TrialMetrics::completionFloorP99Ms },
    { "deadlinesMissed", &TrialMetrics::deadlinesMissed },
    { "fragmentation", &TrialMetrics::fragmentation },
    { "utilisation", &TrialMetrics::utilisation },
    { "reclaimSucceededShare", &TrialMetrics::reclaimSucceededShare },
};

void print(const TrialPlan& plan, std::uint64_t seed, absl::string_view policy, const TrialMetrics& metrics,
    const TrialMetrics& baseline)
{
    for (const NamedMetric& metric : namedMetrics) {
        const double value = metrics.*metric.value;
        const double baselineValue = baseline.*metric.value;
        const std::string ratio = baselineValue > 0 ? absl::StrFormat("%.3f", value / baselineValue) : "null";
        absl::PrintF(
            "{\"deployment\":\"%s\",\"load\":\"%s\",\"seed\":%d,\"policy\":\"%s\",\"figure\":\"%s\",\"value\":%.4f,"
            "\"baseline\":%.4f,\"ratio\":%s}\n",
            plan.deployment, plan.load, seed, policy, metric.name, value, baselineValue, ratio);
    }
}

void runTrials(absl::string_view deployment, absl::string_view load, std::uint64_t seed)
{
    const TrialPlan plan = makeTrialPlan(deployment, load, seed);
    const TrialMetrics baseline = PolicyTrial(plan, { true, 0 }).run();
    for (const double weight : completionWeights) {
        const TrialMetrics metrics = PolicyTrial(plan, { false, weight }).run();
        print(plan, seed, absl::StrFormat("cells-%.1f", weight), metrics, baseline);
    }
}

} // namespace
} // namespace mangohall

int main()
{
    for (const char* deployment : { "zagara", "caroni" }) {
        for (const char* load : { "full", "half" }) {
            for (const std::uint64_t seed : mangohall::seeds)
                mangohall::runTrials(deployment, load, seed);
        }
    }
    return 0;
}
