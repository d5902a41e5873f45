// The wire values of the enumerators. The meaning of a wire value never changes.
#pragma once

#include "configuration/configuration_type.h"
#include "job/job_type.h"
#include "mangohall_types.h"
#include "node/peer_message_type.h"
#include "organisation/organisation_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// An enumerator and its wire value.
template <typename Domain, typename Wire> struct EnumRow {
    Domain domain;
    Wire wire;
};

inline constexpr EnumRow<Adjacency, wire::Adjacency::type> adjacencyTable[] = {
    { Adjacency::Anywhere, wire::Adjacency::ANYWHERE },
    { Adjacency::SameDataCentre, wire::Adjacency::SAME_DATA_CENTRE },
    { Adjacency::SameRack, wire::Adjacency::SAME_RACK },
    { Adjacency::SameWorker, wire::Adjacency::SAME_WORKER },
};

inline constexpr EnumRow<Priority, wire::Priority::type> priorityTable[] = {
    { Priority::Batch, wire::Priority::BATCH },
    { Priority::Normal, wire::Priority::NORMAL },
    { Priority::Urgent, wire::Priority::URGENT },
};

inline constexpr EnumRow<JobPhase, wire::JobPhase::type> jobPhaseTable[] = {
    { JobPhase::Queued, wire::JobPhase::QUEUED },
    { JobPhase::Claimed, wire::JobPhase::CLAIMED },
    { JobPhase::Released, wire::JobPhase::RELEASED },
    { JobPhase::Ended, wire::JobPhase::ENDED },
};

inline constexpr EnumRow<TaskState, wire::TaskState::type> taskStateTable[] = {
    { TaskState::NeverStarted, wire::TaskState::NEVER_STARTED },
    { TaskState::Prepared, wire::TaskState::PREPARED },
    { TaskState::Running, wire::TaskState::RUNNING },
    { TaskState::Succeeded, wire::TaskState::SUCCEEDED },
    { TaskState::Failed, wire::TaskState::FAILED },
    { TaskState::StoppedBeforeRelease, wire::TaskState::STOPPED_BEFORE_RELEASE },
    { TaskState::Stopped, wire::TaskState::STOPPED },
};

inline constexpr EnumRow<PartEnd, wire::PartEnd::type> partEndTable[] = {
    { PartEnd::Succeeded, wire::PartEnd::SUCCEEDED },
    { PartEnd::Failed, wire::PartEnd::FAILED },
    { PartEnd::NeverRan, wire::PartEnd::NEVER_RAN },
    { PartEnd::Stopped, wire::PartEnd::STOPPED },
    { PartEnd::Evicted, wire::PartEnd::EVICTED },
    { PartEnd::Lost, wire::PartEnd::LOST },
};

inline constexpr EnumRow<DrainTarget, wire::DrainTarget::type> drainTargetTable[] = {
    { DrainTarget::Worker, wire::DrainTarget::WORKER },
    { DrainTarget::Rack, wire::DrainTarget::RACK },
    { DrainTarget::DataCentre, wire::DrainTarget::DATA_CENTRE },
};

} // namespace mangohall
