#include "adapters/wire/peer_wire_func.h"

#include "adapters/wire/attempt_wire_func.h"
#include "adapters/wire/directory_wire_func.h"
#include "adapters/wire/request_wire_func.h"

namespace mangohall {

namespace {

// Sets the member of the Thrift union that corresponds to the message type.
class PeerPayloadWriter {
public:
    explicit PeerPayloadWriter(wire::PeerPayload& to)
        : m_to(to)
    {
    }

    void operator()(const SubmitJob& from) const { m_to.__set_submitJob(toWire(from)); }
    void operator()(const CancelJob& from) const { m_to.__set_cancelJob(toWire(from)); }
    void operator()(const QueryJob& from) const { m_to.__set_queryJob(toWire(from)); }
    void operator()(const JobStatus& from) const { m_to.__set_jobStatus(toWire(from)); }
    void operator()(const ReserveCapacity& from) const { m_to.__set_reserveCapacity(toWire(from)); }
    void operator()(const CapacityHeld& from) const { m_to.__set_capacityHeld(toWire(from)); }
    void operator()(const CapacityRefused& from) const { m_to.__set_capacityRefused(toWire(from)); }
    void operator()(const StartAttempt& from) const { m_to.__set_startAttempt(toWire(from)); }
    void operator()(const AttemptPrepared& from) const { m_to.__set_attemptPrepared(toWire(from)); }
    void operator()(const ReleaseAttempt& from) const { m_to.__set_releaseAttempt(toWire(from)); }
    void operator()(const AbortAttempt& from) const { m_to.__set_abortAttempt(toWire(from)); }
    void operator()(const PartEnded& from) const { m_to.__set_partEnded(toWire(from)); }
    void operator()(const EndAcknowledged& from) const { m_to.__set_endAcknowledged(toWire(from)); }
    void operator()(const ConfigDelta& from) const { m_to.__set_configDelta(toWire(from)); }
    void operator()(const RevisionReport& from) const { m_to.__set_revisionReport(toWire(from)); }
    void operator()(const RegionRevisions& from) const { m_to.__set_regionRevisions(toWire(from)); }
    void operator()(const CapacitySummary& from) const { m_to.__set_capacitySummary(toWire(from)); }

private:
    wire::PeerPayload& m_to;
};

} // namespace

wire::PeerPayload toWire(const PeerPayload& from)
{
    wire::PeerPayload to;
    std::visit(PeerPayloadWriter(to), from);
    return to;
}

PeerPayload fromWire(const wire::PeerPayload& from, WireFault& fault)
{
    if (from.__isset.submitJob)
        return fromWire(from.submitJob, fault);
    if (from.__isset.cancelJob)
        return fromWire(from.cancelJob, fault);
    if (from.__isset.queryJob)
        return fromWire(from.queryJob, fault);
    if (from.__isset.jobStatus)
        return fromWire(from.jobStatus, fault);
    if (from.__isset.reserveCapacity)
        return fromWire(from.reserveCapacity, fault);
    if (from.__isset.capacityHeld)
        return fromWire(from.capacityHeld, fault);
    if (from.__isset.capacityRefused)
        return fromWire(from.capacityRefused, fault);
    if (from.__isset.startAttempt)
        return fromWire(from.startAttempt, fault);
    if (from.__isset.attemptPrepared)
        return fromWire(from.attemptPrepared, fault);
    if (from.__isset.releaseAttempt)
        return fromWire(from.releaseAttempt, fault);
    if (from.__isset.abortAttempt)
        return fromWire(from.abortAttempt, fault);
    if (from.__isset.partEnded)
        return fromWire(from.partEnded, fault);
    if (from.__isset.endAcknowledged)
        return fromWire(from.endAcknowledged, fault);
    if (from.__isset.configDelta)
        return fromWire(from.configDelta, fault);
    if (from.__isset.revisionReport)
        return fromWire(from.revisionReport, fault);
    if (from.__isset.regionRevisions)
        return fromWire(from.regionRevisions, fault);
    if (from.__isset.capacitySummary)
        return fromWire(from.capacitySummary, fault);
    fault.record("PeerPayload");
    return {};
}

wire::PeerEnvelope toWire(const PeerMessage& from)
{
    wire::PeerEnvelope to;
    to.sender = from.from.str();
    to.shard = from.shard.str();
    to.payload = toWire(from.payload);
    return to;
}

PeerMessage fromWire(const wire::PeerEnvelope& from, WireFault& fault)
{
    PeerMessage to;
    to.from = NodeName(from.sender);
    to.shard = ShardName(from.shard);
    to.payload = fromWire(from.payload, fault);
    return to;
}

} // namespace mangohall
