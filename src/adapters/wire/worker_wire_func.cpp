#include "adapters/wire/worker_wire_func.h"

#include "adapters/wire/job_wire_func.h"
#include "adapters/wire/wire_value_func.h"

namespace mangohall {

wire::Resources toWire(const Resources& from)
{
    wire::Resources to;
    to.cpuMillis = from.cpuMillis;
    to.memoryBytes = from.memoryBytes;
    to.accelerators = from.accelerators;
    return to;
}

Resources fromWire(const wire::Resources& from, WireFault& /*fault*/)
{
    Resources to;
    to.cpuMillis = from.cpuMillis;
    to.memoryBytes = from.memoryBytes;
    to.accelerators = from.accelerators;
    return to;
}

wire::TaskReport toWire(const TaskReport& from)
{
    wire::TaskReport to;
    to.task = toWire(from.task);
    to.state = toWireEnum(taskStateTable, from.state);
    to.result = from.result;
    to.checkpoint = from.checkpoint;
    to.usage = toWire(from.usage);
    return to;
}

TaskReport fromWire(const wire::TaskReport& from, WireFault& fault)
{
    TaskReport to;
    to.task = fromWire(from.task, fault);
    to.state = enumFromWire(taskStateTable, from.state, "TaskReport.state", fault);
    to.result = from.result;
    to.checkpoint = from.checkpoint;
    to.usage = fromWire(from.usage, fault);
    return to;
}

} // namespace mangohall
