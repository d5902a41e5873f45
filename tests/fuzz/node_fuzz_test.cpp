// Runs complete nodes under random faults and checks every guarantee that callers, operators and workers can observe.
#include <cstdlib>

#include "gtest/gtest.h"

#include "absl/strings/str_join.h"
#include "fuzz/step_command_base.h"
#include "rapidcheck/gtest.h"

namespace mangohall {
namespace {

// RapidCheck reads its parameters from this environment variable before the first property. A value that is already set
// takes precedence. Shrinking is off here; tools/fuzz shrinks failures.
const int isSeedSet = setenv("RC_PARAMS", "seed=11 max_success=25 max_size=60 noshrink=1", 0);

RC_GTEST_PROP(NodeFuzz, KeepsEveryPromise, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const StepCommands steps = *genSteps();
    FuzzWorld world(seed);
    rc::state::runAll(steps, FuzzModel(), world);
    const Findings findings = world.healAndCheck();
    if (!findings.empty())
        RC_FAIL(absl::StrJoin(findings, "\n"));
}

} // namespace
} // namespace mangohall
