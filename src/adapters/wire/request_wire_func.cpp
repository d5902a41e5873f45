#include "adapters/wire/request_wire_func.h"

#include "adapters/wire/job_wire_func.h"
#include "adapters/wire/wire_value_func.h"

namespace mangohall {

wire::SubmitJob toWire(const SubmitJob& from)
{
    wire::SubmitJob to;
    to.key = toWire(from.key);
    to.request = from.request;
    to.spec = toWire(from.spec);
    return to;
}

SubmitJob fromWire(const wire::SubmitJob& from, WireFault& fault)
{
    SubmitJob to;
    to.key = fromWire(from.key, fault);
    to.request = from.request;
    to.spec = fromWire(from.spec, fault);
    return to;
}

wire::CancelJob toWire(const CancelJob& from)
{
    wire::CancelJob to;
    to.key = toWire(from.key);
    to.request = from.request;
    return to;
}

CancelJob fromWire(const wire::CancelJob& from, WireFault& fault)
{
    CancelJob to;
    to.key = fromWire(from.key, fault);
    to.request = from.request;
    return to;
}

wire::QueryJob toWire(const QueryJob& from)
{
    wire::QueryJob to;
    to.key = toWire(from.key);
    to.request = from.request;
    return to;
}

QueryJob fromWire(const wire::QueryJob& from, WireFault& fault)
{
    QueryJob to;
    to.key = fromWire(from.key, fault);
    to.request = from.request;
    return to;
}

wire::JobStatus toWire(const JobStatus& from)
{
    wire::JobStatus to;
    to.key = toWire(from.key);
    to.request = from.request;
    to.refusal = toWireErrorKind(from.refusal);
    to.message = from.message;
    to.phase = toWireEnum(jobPhaseTable, from.phase);
    to.outcome = toWireErrorKind(from.outcome);
    to.attempt = from.attempt;
    to.acceptedAt = toWireTime(from.acceptedAt);
    to.releasedAt = toWireTime(from.releasedAt);
    to.endedAt = toWireTime(from.endedAt);
    to.results = from.results;
    return to;
}

JobStatus fromWire(const wire::JobStatus& from, WireFault& fault)
{
    JobStatus to;
    to.key = fromWire(from.key, fault);
    to.request = from.request;
    to.refusal = errorKindFromWire(from.refusal, fault);
    to.message = from.message;
    to.phase = enumFromWire(jobPhaseTable, from.phase, "JobStatus.phase", fault);
    to.outcome = errorKindFromWire(from.outcome, fault);
    to.attempt = from.attempt;
    to.acceptedAt = timeFromWire(from.acceptedAt);
    to.releasedAt = timeFromWire(from.releasedAt);
    to.endedAt = timeFromWire(from.endedAt);
    to.results = from.results;
    return to;
}

} // namespace mangohall
