// Wraps steps as commands of RapidCheck's stateful testing.
#pragma once

#include <memory>

#include "fuzz/fuzz_world_base.h"
#include "fuzz/step_gen_func.h"
#include "rapidcheck.h"
#include "rapidcheck/state.h"

namespace mangohall {

// The state that decides whether a step is possible.
struct FuzzModel {
    // The subjects of the steps that paused a node.
    std::set<int> pausedNodes;
};

// Applies one step to the fuzz world.
class StepCommand : public rc::state::Command<FuzzModel, FuzzWorld> {
public:
    explicit StepCommand(const Step& step)
        : m_step(step)
    {
    }

    void checkPreconditions(const FuzzModel& model) const override
    {
        if (m_step.kind == StepKind::ResumeNode)
            RC_PRE(!model.pausedNodes.empty());
    }

    void apply(FuzzModel& model) const override
    {
        if (m_step.kind == StepKind::PauseNode)
            model.pausedNodes.insert(m_step.subject);
    }

    void run(const FuzzModel& /*model*/, FuzzWorld& world) const override { world.applyStep(m_step); }
    void show(std::ostream& stream) const override { stream << m_step; }

private:
    const Step m_step;
};

using StepCommands = rc::state::Commands<StepCommand::CommandType>;

// Generates sequences of steps.
inline rc::Gen<StepCommands> genSteps()
{
    return rc::state::gen::commands(FuzzModel(), [](const FuzzModel&) {
        return rc::gen::map(genStep(), [](const Step& step) {
            return std::shared_ptr<const StepCommand::CommandType>(std::make_shared<StepCommand>(step));
        });
    });
}

} // namespace mangohall
