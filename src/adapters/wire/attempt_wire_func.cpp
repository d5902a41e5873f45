#include "adapters/wire/attempt_wire_func.h"

#include "adapters/wire/job_wire_func.h"
#include "adapters/wire/wire_value_func.h"
#include "adapters/wire/worker_wire_func.h"

namespace mangohall {

wire::AttemptId toWire(const AttemptId& from)
{
    wire::AttemptId to;
    to.job = toWire(from.job);
    to.attempt = from.attempt;
    return to;
}

AttemptId fromWire(const wire::AttemptId& from, WireFault& fault)
{
    AttemptId to;
    to.job = fromWire(from.job, fault);
    to.attempt = from.attempt;
    return to;
}

wire::ReserveCapacity toWire(const ReserveCapacity& from)
{
    wire::ReserveCapacity to;
    to.attempt = toWire(from.attempt);
    to.home = from.home.str();
    to.spec = toWire(from.spec);
    to.checkpoint = from.checkpoint;
    to.firstTask = from.firstTask;
    to.acceptedAt = toWireTime(from.acceptedAt);
    return to;
}

ReserveCapacity fromWire(const wire::ReserveCapacity& from, WireFault& fault)
{
    ReserveCapacity to;
    to.attempt = fromWire(from.attempt, fault);
    to.home = ShardName(from.home);
    to.spec = fromWire(from.spec, fault);
    to.checkpoint = from.checkpoint;
    to.firstTask = from.firstTask;
    to.acceptedAt = timeFromWire(from.acceptedAt);
    return to;
}

wire::CapacityHeld toWire(const CapacityHeld& from)
{
    wire::CapacityHeld to;
    to.attempt = toWire(from.attempt);
    to.shard = from.shard.str();
    to.placement = listToWire<wire::TaskPlacement>(from.placement);
    return to;
}

CapacityHeld fromWire(const wire::CapacityHeld& from, WireFault& fault)
{
    CapacityHeld to;
    to.attempt = fromWire(from.attempt, fault);
    to.shard = ShardName(from.shard);
    to.placement = listFromWire<TaskPlacement>(from.placement, fault);
    return to;
}

wire::CapacityRefused toWire(const CapacityRefused& from)
{
    wire::CapacityRefused to;
    to.attempt = toWire(from.attempt);
    to.shard = from.shard.str();
    to.kind = toWireErrorKind(from.kind);
    to.message = from.message;
    to.firstTask = from.firstTask;
    to.tasks = from.tasks;
    return to;
}

CapacityRefused fromWire(const wire::CapacityRefused& from, WireFault& fault)
{
    CapacityRefused to;
    to.attempt = fromWire(from.attempt, fault);
    to.shard = ShardName(from.shard);
    to.kind = errorKindFromWire(from.kind, fault);
    to.message = from.message;
    to.firstTask = from.firstTask;
    to.tasks = from.tasks;
    return to;
}

wire::StartAttempt toWire(const StartAttempt& from)
{
    wire::StartAttempt to;
    to.attempt = toWire(from.attempt);
    to.home = from.home.str();
    to.spec = toWire(from.spec);
    to.checkpoint = from.checkpoint;
    to.placement = listToWire<wire::TaskPlacement>(from.placement);
    return to;
}

StartAttempt fromWire(const wire::StartAttempt& from, WireFault& fault)
{
    StartAttempt to;
    to.attempt = fromWire(from.attempt, fault);
    to.home = ShardName(from.home);
    to.spec = fromWire(from.spec, fault);
    to.checkpoint = from.checkpoint;
    to.placement = listFromWire<TaskPlacement>(from.placement, fault);
    return to;
}

wire::AttemptPrepared toWire(const AttemptPrepared& from)
{
    wire::AttemptPrepared to;
    to.attempt = toWire(from.attempt);
    to.shard = from.shard.str();
    return to;
}

AttemptPrepared fromWire(const wire::AttemptPrepared& from, WireFault& fault)
{
    AttemptPrepared to;
    to.attempt = fromWire(from.attempt, fault);
    to.shard = ShardName(from.shard);
    return to;
}

wire::ReleaseAttempt toWire(const ReleaseAttempt& from)
{
    wire::ReleaseAttempt to;
    to.attempt = toWire(from.attempt);
    to.home = from.home.str();
    to.spec = toWire(from.spec);
    to.placement = listToWire<wire::TaskPlacement>(from.placement);
    return to;
}

ReleaseAttempt fromWire(const wire::ReleaseAttempt& from, WireFault& fault)
{
    ReleaseAttempt to;
    to.attempt = fromWire(from.attempt, fault);
    to.home = ShardName(from.home);
    to.spec = fromWire(from.spec, fault);
    to.placement = listFromWire<TaskPlacement>(from.placement, fault);
    return to;
}

wire::AbortAttempt toWire(const AbortAttempt& from)
{
    wire::AbortAttempt to;
    to.attempt = toWire(from.attempt);
    to.home = from.home.str();
    to.placement = listToWire<wire::TaskPlacement>(from.placement);
    return to;
}

AbortAttempt fromWire(const wire::AbortAttempt& from, WireFault& fault)
{
    AbortAttempt to;
    to.attempt = fromWire(from.attempt, fault);
    to.home = ShardName(from.home);
    to.placement = listFromWire<TaskPlacement>(from.placement, fault);
    return to;
}

wire::PartEnded toWire(const PartEnded& from)
{
    wire::PartEnded to;
    to.attempt = toWire(from.attempt);
    to.shard = from.shard.str();
    to.partEnd = toWireEnum(partEndTable, from.end);
    to.message = from.message;
    to.checkpoint = from.checkpoint;
    to.tasks = listToWire<wire::TaskReport>(from.tasks);
    return to;
}

PartEnded fromWire(const wire::PartEnded& from, WireFault& fault)
{
    PartEnded to;
    to.attempt = fromWire(from.attempt, fault);
    to.shard = ShardName(from.shard);
    to.end = enumFromWire(partEndTable, from.partEnd, "PartEnded.end", fault);
    to.message = from.message;
    to.checkpoint = from.checkpoint;
    to.tasks = listFromWire<TaskReport>(from.tasks, fault);
    return to;
}

wire::EndAcknowledged toWire(const EndAcknowledged& from)
{
    wire::EndAcknowledged to;
    to.attempt = toWire(from.attempt);
    return to;
}

EndAcknowledged fromWire(const wire::EndAcknowledged& from, WireFault& fault)
{
    EndAcknowledged to;
    to.attempt = fromWire(from.attempt, fault);
    return to;
}

} // namespace mangohall
