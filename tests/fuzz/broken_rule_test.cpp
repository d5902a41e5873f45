// Checks that the fuzz tests detect each deliberate violation of a rule.
#include <algorithm>
#include <iostream>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_join.h"
#include "absl/types/span.h"
#include "fuzz/broken_rule_base.h"
#include "fuzz/step_command_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

using BreakRule = void (*)(Cluster&);

constexpr int maxRuns = 120;

// Runs random step sequences with a violated rule until a run reports one of the wanted findings. Returns the text of
// that run's findings, empty if no run reported a wanted one. Runs with other findings only are passed over: they do
// not show that the wanted check works.
std::string findingsWithBrokenRule(BreakRule breakRule, absl::Span<const absl::string_view> wanted)
{
    rc::detail::TestParams params;
    params.seed = 11;
    params.maxSuccess = maxRuns;
    params.maxSize = 60;
    params.disableShrinking = true;
    const auto isWanted = [wanted](const std::string& text) {
        return std::any_of(
            wanted.begin(), wanted.end(), [&text](absl::string_view part) { return absl::StrContains(text, part); });
    };
    const auto property = [breakRule, isWanted] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
        const StepCommands steps = *genSteps();
        FuzzWorld world(seed);
        breakRule(world.cluster());
        rc::state::runAll(steps, FuzzModel(), world);
        const std::string found = absl::StrJoin(world.healAndCheck(), "\n");
        if (isWanted(found))
            RC_FAIL(found);
    };
    const rc::detail::TestResult result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    rc::detail::FailureResult failure;
    if (!result.match(failure))
        return "";
    // A property also fails if it throws, which is not a finding of the oracles.
    if (!isWanted(failure.description)) {
        ADD_FAILURE() << failure.description;
        return "";
    }
    std::cout << "found after " << failure.numSuccess << " runs:\n" << failure.description << "\n";
    return failure.description;
}

TEST(BrokenRule, AWorkerThatObeysAnyEpochIsSeen)
{
    EXPECT_NE(findingsWithBrokenRule(
                  [](Cluster& cluster) { cluster.workerPool().setBehaviour(std::make_shared<UnfencedBehaviour>()); },
                  { "accepted epoch" }),
        "");
}

TEST(BrokenRule, AWorkerThatStartsTwiceIsSeen)
{
    EXPECT_NE(
        findingsWithBrokenRule(
            [](Cluster& cluster) { cluster.workerPool().setBehaviour(std::make_shared<StartingTwiceBehaviour>()); },
            { "not idempotent" }),
        "");
}

TEST(BrokenRule, AGangReleasedEarlyIsSeen)
{
    EXPECT_NE(
        findingsWithBrokenRule(
            [](Cluster& cluster) { cluster.workerPool().setBehaviour(std::make_shared<EarlyReleaseBehaviour>()); },
            { "tasks started on workers" }),
        "");
}

TEST(BrokenRule, ALostTaskThatIsDeniedIsSeen)
{
    EXPECT_NE(
        findingsWithBrokenRule(
            [](Cluster& cluster) { cluster.workerPool().setBehaviour(std::make_shared<FalseNeverStartedBehaviour>()); },
            { "not idempotent", "and a task ran" }),
        "");
}

TEST(BrokenRule, AStoreThatTakesStaleWritesIsSeen)
{
    EXPECT_NE(findingsWithBrokenRule(
                  [](Cluster& cluster) { cluster.store().setAcceptsStaleWrites(true); }, { "and was accepted after" }),
        "");
}

TEST(BrokenRule, AnotherCallersAnswerIsSeen)
{
    EXPECT_NE(findingsWithBrokenRule(
                  [](Cluster& cluster) { cluster.setAnswerInterceptor(std::make_shared<SwappingInterceptor>()); },
                  { "received an answer about" }),
        "");
}

TEST(BrokenRule, AnAnswerThatIsNotWholeIsSeen)
{
    EXPECT_NE(findingsWithBrokenRule(
                  [](Cluster& cluster) { cluster.setAnswerInterceptor(std::make_shared<TruncatingInterceptor>()); },
                  { "do not match the submitted job" }),
        "");
}

TEST(BrokenRule, AConfigurationTurnedBackIsSeen)
{
    EXPECT_NE(findingsWithBrokenRule(
                  [](Cluster& cluster) { cluster.setAnswerInterceptor(std::make_shared<StaleListInterceptor>()); },
                  { "read revision", "the accepted weight is" }),
        "");
}

} // namespace
} // namespace mangohall
