// One step of the fuzz: what somebody does, or what goes wrong.
#pragma once

#include <ostream>

namespace mangohall {

enum class StepKind {
    Pass,
    Submit,
    SubmitOther,
    Cancel,
    Query,
    Put,
    PutExpected,
    // Two operators change one thing at the same moment, through different entries.
    RacePuts,
    Delete,
    Read,
    KillNode,
    RestartNode,
    PauseNode,
    ResumeNode,
    DrainNode,
    StoreOut,
    StoreBack,
    StoreLosesAnswers,
    SilenceWatches,
    NetworkLoss,
    NetworkDoubling,
    NetworkJitter,
    CutNode,
    JoinNode,
    FreezeWorker,
    ThawWorker,
    KillWorker,
    RestartWorker,
    LoseWorkerAnswers,
    FailEveryTask,
    LeaveWorker,
    LoseWorkerCalls,
};

// `subject` and `detail` are taken modulo what there is, so that every step is possible and shrinks to small numbers.
struct Step {
    StepKind kind = StepKind::Pass;
    int subject = 0;
    int detail = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step);

} // namespace mangohall
