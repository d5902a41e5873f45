// A step of the fuzz tests: a request of a caller or operator, a fault, or a time to wait.
#pragma once

#include <ostream>

namespace mangohall {

// The kinds of steps, in the order of the step table in step_gen_func.cpp.
enum class StepKind {
    AdvanceTime,
    Submit,
    SubmitOtherBody,
    Cancel,
    Query,
    Put,
    PutExpected,
    // Two operators change the same resource at the same time through different entries.
    RacePuts,
    Delete,
    Read,
    KillNode,
    RestartNode,
    PauseNode,
    ResumeNode,
    DrainNode,
    StopStore,
    RestoreStore,
    StoreLosesAnswers,
    SilenceWatches,
    NetworkLoss,
    NetworkDuplication,
    NetworkJitter,
    IsolateNode,
    ReconnectNode,
    FreezeWorker,
    ThawWorker,
    KillWorker,
    RestartWorker,
    LoseWorkerAnswers,
    FailEveryTask,
    LeaveWorker,
    LoseWorkerCalls,
};

// A step. `subject` is the number of the node, worker, job or organisation, `detail` a parameter of the kind. Both are
// reduced modulo the number of choices, so that every value is valid and failures shrink to small numbers.
struct Step {
    StepKind kind = StepKind::AdvanceTime;
    int subject = 0;
    int detail = 0;
};

// Prints the step as "kind(subject, detail)".
std::ostream& operator<<(std::ostream& stream, const Step& step);

} // namespace mangohall
