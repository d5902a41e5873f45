#include "adapters/wire/sample_message_func.h"

namespace mangohall {

namespace {

const JobKey key { OrganisationName("zagara"), "renewal-17" };
const AttemptId attempt { key, 3 };
const ShardName homeShard("ct-a-0");
const ShardName partShard("sr-b-1");

absl::Time at(int seconds)
{
    return absl::FromUnixSeconds(1700000000 + seconds) + absl::Microseconds(seconds);
}

std::string binaryText()
{
    return std::string("a\0\xff\n\"", 5);
}

JobStatus sampleStatus()
{
    JobStatus status;
    status.key = key;
    status.request = "entry-1.10";
    status.refusal = ErrorKind::QueueFull;
    status.message = "full";
    status.phase = JobPhase::Ended;
    status.outcome = ErrorKind::TaskFailed;
    status.attempt = 2;
    status.acceptedAt = at(1);
    status.releasedAt = at(2);
    status.endedAt = at(3);
    status.results = { "one", "", binaryText() };
    return status;
}

std::vector<TaskReport> sampleReports()
{
    std::vector<TaskReport> reports;
    for (const TaskState state : { TaskState::NeverStarted, TaskState::Prepared, TaskState::Running,
             TaskState::Succeeded, TaskState::Failed, TaskState::StoppedBeforeRelease, TaskState::Stopped }) {
        const auto index = static_cast<std::int32_t>(reports.size());
        reports.push_back({ TaskId { key, 3, index }, state, binaryText(), "checkpoint", Resources { 7, 8, 9 } });
    }
    return reports;
}

std::vector<PeerPayload> samplePartEnds()
{
    std::vector<PeerPayload> payloads;
    for (const PartEnd end :
        { PartEnd::Succeeded, PartEnd::Failed, PartEnd::NeverRan, PartEnd::Stopped, PartEnd::Evicted, PartEnd::Lost })
        payloads.emplace_back(PartEnded { attempt, partShard, end, "why", binaryText(), sampleReports() });
    return payloads;
}

} // namespace

JobSpec sampleSpec()
{
    JobSpec spec;
    spec.service = ServiceName("regdesk");
    spec.shape = Shape { 4, 2, Adjacency::SameRack };
    spec.cpuMillisPerTask = 1500;
    spec.memoryBytesPerTask = 1LL << 40;
    spec.expectedRunTime = absl::Seconds(90);
    spec.deadline = absl::Hours(2);
    spec.priority = Priority::Urgent;
    spec.isIdempotent = true;
    spec.isCheckpointable = true;
    spec.acceptsStop = true;
    spec.payload = binaryText();
    return spec;
}

std::vector<TaskPlacement> samplePlacement()
{
    return { { 0, partShard, WorkerName("w1"), "run-1", { 3, 17 } },
        { 1, homeShard, WorkerName("w2"), "run-2", { 4, 18 } } };
}

JobRecord sampleRecord()
{
    JobRecord record;
    record.key = key;
    record.spec = sampleSpec();
    record.phase = JobPhase::Claimed;
    record.attempt = 5;
    record.placement = samplePlacement();
    record.isCancelRequested = true;
    record.checkpoint = binaryText();
    record.acceptedAt = at(4);
    record.outcome = ErrorKind::OutcomeUnknown;
    record.message = "no proof";
    record.results = { binaryText(), "second" };
    return record;
}

std::vector<ConfigObject> sampleConfigObjects()
{
    return {
        { Organisation { OrganisationName("zagara"), 2, 30, 4 }, 11, "change-1" },
        { Guarantee { GuaranteeName("g"), OrganisationName("zagara"), homeShard, 2, 8, Adjacency::SameDataCentre }, 12,
            "change-2" },
        { Service { ServiceName("regdesk"), 9, 65 }, 13, "change-3" },
        { Drain { "d", DrainTarget::Rack, "ct-a-r1" }, 14, "change-4" },
        { Policy { "main", 0.25, absl::Milliseconds(900) }, 15, "change-5" },
        { ShardSpec {
              homeShard, RegionName("sic-east"), DataCentreName("ct-a"), { RackName("r1"), RackName("r2") }, 6, 4 },
            16, "change-6" },
    };
}

std::vector<PeerPayload> samplePayloads()
{
    std::vector<PeerPayload> payloads {
        SubmitJob { key, "entry-1.7", sampleSpec() },
        CancelJob { key, "entry-1.8" },
        QueryJob { key, "entry-1.9" },
        sampleStatus(),
        ReserveCapacity { attempt, homeShard, sampleSpec(), binaryText(), 16, at(5) },
        CapacityHeld { attempt, partShard, samplePlacement() },
        CapacityRefused { attempt, partShard, ErrorKind::NeverFits, "too large", 3, 9 },
        StartAttempt { attempt, homeShard, sampleSpec(), binaryText(), samplePlacement() },
        AttemptPrepared { attempt, partShard },
        ReleaseAttempt { attempt, homeShard, sampleSpec(), samplePlacement() },
        AbortAttempt { attempt, homeShard, samplePlacement() },
        EndAcknowledged { attempt },
        ConfigDelta { 10, 16, sampleConfigObjects(), { "config/drains/old" }, true },
        RevisionReport { 16 },
        RegionRevisions { RegionName("sic-west"), 15, { NodeName("n1"), NodeName("n2") } },
        CapacitySummary { partShard, 32, 8, 24, 5 },
    };
    for (PeerPayload& payload : samplePartEnds())
        payloads.push_back(std::move(payload));
    return payloads;
}

} // namespace mangohall
