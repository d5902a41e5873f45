#include "adapters/observe/decision_log_base.h"

#include "absl/strings/match.h"
#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

DecisionEffect decisionOf(DecisionEffect::Kind kind)
{
    DecisionEffect decision;
    decision.kind = kind;
    return decision;
}

// Guards against a change of owner that the log does not show because hundreds of runs were placed in the same second.
TEST(DecisionLog, DropsNoRareLineForManyLinesAboutRuns)
{
    const ManualClock clock;
    DecisionLog log(NodeName("node"), clock);
    for (int line = 0; line < 1000; ++line)
        log.observe(decisionOf(DecisionEffect::Kind::RunPlaced));
    const std::string full = log.metricsText();
    EXPECT_FALSE(absl::StrContains(full, "mangohall_log_lines_dropped 0\n"));
    log.observe(decisionOf(DecisionEffect::Kind::OwnershipLost));
    log.observe(decisionOf(DecisionEffect::Kind::JobHeld));
    const auto droppedIn
        = [](const std::string& text) { return text.substr(text.find("mangohall_log_lines_dropped")); };
    EXPECT_EQ(droppedIn(log.metricsText()), droppedIn(full));
}

} // namespace
} // namespace mangohall::batch
