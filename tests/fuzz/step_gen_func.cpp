#include "fuzz/step_gen_func.h"

namespace mangohall {

namespace {

// One row for each kind of step: its printed name and its relative frequency.
struct StepRow {
    StepKind kind;
    const char* name;
    int weight;
};

constexpr StepRow stepTable[] = {
    { StepKind::AdvanceTime, "pass", 40 },
    { StepKind::Submit, "submit", 40 },
    { StepKind::SubmitOtherBody, "submitOther", 4 },
    { StepKind::Cancel, "cancel", 6 },
    { StepKind::Query, "query", 6 },
    { StepKind::Put, "put", 4 },
    { StepKind::PutExpected, "putExpected", 6 },
    { StepKind::RacePuts, "racePuts", 4 },
    { StepKind::Delete, "delete", 2 },
    { StepKind::Read, "read", 6 },
    { StepKind::KillNode, "killNode", 4 },
    { StepKind::RestartNode, "restartNode", 5 },
    { StepKind::PauseNode, "pauseNode", 4 },
    { StepKind::ResumeNode, "resumeNode", 6 },
    { StepKind::DrainNode, "drainNode", 2 },
    { StepKind::StopStore, "storeOut", 2 },
    { StepKind::RestoreStore, "storeBack", 4 },
    { StepKind::StoreLosesAnswers, "storeLosesAnswers", 3 },
    { StepKind::SilenceWatches, "silenceWatches", 2 },
    { StepKind::NetworkLoss, "networkLoss", 3 },
    { StepKind::NetworkDuplication, "networkDoubling", 3 },
    { StepKind::NetworkJitter, "networkJitter", 3 },
    { StepKind::IsolateNode, "cutNode", 3 },
    { StepKind::ReconnectNode, "joinNode", 5 },
    { StepKind::FreezeWorker, "freezeWorker", 4 },
    { StepKind::ThawWorker, "thawWorker", 4 },
    { StepKind::KillWorker, "killWorker", 4 },
    { StepKind::RestartWorker, "restartWorker", 5 },
    { StepKind::LoseWorkerAnswers, "loseWorkerAnswers", 3 },
    { StepKind::FailEveryTask, "failEveryTask", 2 },
    { StepKind::LeaveWorker, "leaveWorker", 2 },
    { StepKind::LoseWorkerCalls, "loseWorkerCalls", 3 },
};

} // namespace

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    const StepRow& row = stepTable[static_cast<int>(step.kind)];
    return stream << row.name << "(" << step.subject << ", " << step.detail << ")";
}

rc::Gen<Step> genStep()
{
    constexpr int subjects = 32;
    constexpr int details = 20;
    std::vector<StepKind> kinds;
    for (const StepRow& row : stepTable)
        kinds.insert(kinds.end(), row.weight, row.kind);
    return rc::gen::apply(
        [](StepKind kind, int subject, int detail) {
            return Step { kind, subject, detail };
        },
        rc::gen::elementOf(kinds), rc::gen::inRange(0, subjects), rc::gen::inRange(0, details));
}

} // namespace mangohall
