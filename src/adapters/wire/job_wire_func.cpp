#include "adapters/wire/job_wire_func.h"

#include "adapters/wire/wire_value_func.h"

namespace mangohall {

wire::JobKey toWire(const JobKey& from)
{
    wire::JobKey to;
    to.organisation = from.organisation.str();
    to.requestKey = from.requestKey;
    return to;
}

JobKey fromWire(const wire::JobKey& from, WireFault& /*fault*/)
{
    JobKey to;
    to.organisation = OrganisationName(from.organisation);
    to.requestKey = from.requestKey;
    return to;
}

wire::TaskId toWire(const TaskId& from)
{
    wire::TaskId to;
    to.job = toWire(from.job);
    to.attempt = from.attempt;
    to.index = from.index;
    return to;
}

TaskId fromWire(const wire::TaskId& from, WireFault& fault)
{
    TaskId to;
    to.job = fromWire(from.job, fault);
    to.attempt = from.attempt;
    to.index = from.index;
    return to;
}

wire::Shape toWire(const Shape& from)
{
    wire::Shape to;
    to.tasks = from.tasks;
    to.acceleratorsPerTask = from.acceleratorsPerTask;
    to.adjacency = toWireEnum(adjacencyTable, from.adjacency);
    return to;
}

Shape fromWire(const wire::Shape& from, WireFault& fault)
{
    Shape to;
    to.tasks = from.tasks;
    to.acceleratorsPerTask = from.acceleratorsPerTask;
    to.adjacency = enumFromWire(adjacencyTable, from.adjacency, "Shape.adjacency", fault);
    return to;
}

wire::JobSpec toWire(const JobSpec& from)
{
    wire::JobSpec to;
    to.serviceName = from.service.str();
    to.shape = toWire(from.shape);
    to.cpuMillisPerTask = from.cpuMillisPerTask;
    to.memoryBytesPerTask = from.memoryBytesPerTask;
    to.expectedRunTime = toWireDuration(from.expectedRunTime);
    to.deadline = toWireDuration(from.deadline);
    to.priority = toWireEnum(priorityTable, from.priority);
    to.isIdempotent = from.isIdempotent;
    to.isCheckpointable = from.isCheckpointable;
    to.acceptsStop = from.acceptsStop;
    to.payload = from.payload;
    return to;
}

JobSpec fromWire(const wire::JobSpec& from, WireFault& fault)
{
    JobSpec to;
    to.service = ServiceName(from.serviceName);
    to.shape = fromWire(from.shape, fault);
    to.cpuMillisPerTask = from.cpuMillisPerTask;
    to.memoryBytesPerTask = from.memoryBytesPerTask;
    to.expectedRunTime = durationFromWire(from.expectedRunTime);
    to.deadline = durationFromWire(from.deadline);
    to.priority = enumFromWire(priorityTable, from.priority, "JobSpec.priority", fault);
    to.isIdempotent = from.isIdempotent;
    to.isCheckpointable = from.isCheckpointable;
    to.acceptsStop = from.acceptsStop;
    to.payload = from.payload;
    return to;
}

wire::TaskPlacement toWire(const TaskPlacement& from)
{
    wire::TaskPlacement to;
    to.index = from.index;
    to.shard = from.shard.str();
    to.worker = from.worker.str();
    to.incarnation = from.incarnation;
    to.hold.epoch = from.hold.epoch;
    to.hold.number = from.hold.number;
    return to;
}

TaskPlacement fromWire(const wire::TaskPlacement& from, WireFault& /*fault*/)
{
    TaskPlacement to;
    to.index = from.index;
    to.shard = ShardName(from.shard);
    to.worker = WorkerName(from.worker);
    to.incarnation = from.incarnation;
    to.hold = { from.hold.epoch, from.hold.number };
    return to;
}

wire::JobRecord toWire(const JobRecord& from)
{
    wire::JobRecord to;
    to.key = toWire(from.key);
    to.spec = toWire(from.spec);
    to.phase = toWireEnum(jobPhaseTable, from.phase);
    to.attempt = from.attempt;
    to.placement = listToWire<wire::TaskPlacement>(from.placement);
    to.isCancelRequested = from.isCancelRequested;
    to.checkpoint = from.checkpoint;
    to.acceptedAt = toWireTime(from.acceptedAt);
    to.releasedAt = toWireTime(from.releasedAt);
    to.endedAt = toWireTime(from.endedAt);
    to.outcome = toWireErrorKind(from.outcome);
    to.message = from.message;
    to.results = from.results;
    return to;
}

JobRecord fromWire(const wire::JobRecord& from, WireFault& fault)
{
    JobRecord to;
    to.key = fromWire(from.key, fault);
    to.spec = fromWire(from.spec, fault);
    to.phase = enumFromWire(jobPhaseTable, from.phase, "JobRecord.phase", fault);
    to.attempt = from.attempt;
    to.placement = listFromWire<TaskPlacement>(from.placement, fault);
    to.isCancelRequested = from.isCancelRequested;
    to.checkpoint = from.checkpoint;
    to.acceptedAt = timeFromWire(from.acceptedAt);
    to.releasedAt = timeFromWire(from.releasedAt);
    to.endedAt = timeFromWire(from.endedAt);
    to.outcome = errorKindFromWire(from.outcome, fault);
    to.message = from.message;
    to.results = from.results;
    return to;
}

wire::LedgerBucket toWire(const LedgerBucket& from)
{
    wire::LedgerBucket to;
    to.shard = from.shard.str();
    to.bucket = from.bucket;
    to.epoch = from.epoch;
    to.jobs = listToWire<wire::JobRecord>(from.jobs);
    return to;
}

LedgerBucket fromWire(const wire::LedgerBucket& from, WireFault& fault)
{
    LedgerBucket to;
    to.shard = ShardName(from.shard);
    to.bucket = from.bucket;
    to.epoch = from.epoch;
    to.jobs = listFromWire<JobRecord>(from.jobs, fault);
    return to;
}

} // namespace mangohall
