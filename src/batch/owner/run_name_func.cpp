#include "batch/owner/run_name_func.h"

#include "absl/strings/str_cat.h"

namespace mangohall::batch {

std::string runName(const RunKey& run)
{
    const TaskRef& task = run.task.task;
    return absl::StrCat(task.occurrence, ".", task.step, ".", task.index, "#", run.attempt);
}

absl::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseLapsed:
        return "lapsed";
    case RunEnd::GangBroken:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    case RunEnd::NotStarted:
        break;
    }
    return "notStarted";
}

absl::string_view endEvidenceName(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::Listed:
        break;
    case EndEvidence::AbsentFromPoll:
        return "absentFromPoll";
    case EndEvidence::StartRefused:
        return "startRefused";
    case EndEvidence::NeverSent:
        return "neverSent";
    case EndEvidence::ProcessReplaced:
        return "processReplaced";
    case EndEvidence::AddressTakenOver:
        return "addressTakenOver";
    case EndEvidence::WorkerLeft:
        return "workerLeft";
    case EndEvidence::LeaseExpired:
        return "leaseExpired";
    }
    return "";
}

absl::string_view runStageName(RunSlot::Stage stage)
{
    switch (stage) {
    case RunSlot::Stage::Reserved:
        return "reserved";
    case RunSlot::Stage::Adopted:
        return "adopted";
    case RunSlot::Stage::Starting:
        return "starting";
    case RunSlot::Stage::Running:
        return "running";
    case RunSlot::Stage::Ended:
        break;
    }
    return "ended";
}

absl::string_view stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::JobCancelled:
        return "jobCancelled";
    case StopReason::JobFailed:
        return "jobFailed";
    case StopReason::JobCompleted:
        return "jobCompleted";
    case StopReason::GangBroken:
        return "gangBroken";
    case StopReason::Evicted:
        return "evicted";
    case StopReason::WorkerLeaves:
        return "workerLeaves";
    case StopReason::Stalled:
        return "stalled";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::StartUnconfirmed:
        return "startUnconfirmed";
    case StopReason::OwnerStops:
        return "ownerStops";
    case StopReason::WorkerUnavailable:
        break;
    }
    return "workerUnavailable";
}

absl::string_view runHoldName(RunHold hold)
{
    switch (hold) {
    case RunHold::NotSent:
        return "startNotSent";
    case RunHold::Starting:
        return "starting";
    case RunHold::Ending:
        return "runEnding";
    case RunHold::StartInDoubt:
        return "startInDoubt";
    case RunHold::WorkerSilent:
        break;
    }
    return "workerSilent";
}

absl::string_view holdReasonName(HoldReason reason)
{
    switch (reason) {
    case HoldReason::NoCapacity:
        return "noCapacity";
    case HoldReason::AwaitsEvictions:
        return "awaitsEvictions";
    case HoldReason::Reserved:
        return "reserved";
    case HoldReason::OwnerBusy:
        return "ownerBusy";
    case HoldReason::AwaitsRack:
        break;
    }
    return "awaitsRack";
}

} // namespace mangohall::batch
