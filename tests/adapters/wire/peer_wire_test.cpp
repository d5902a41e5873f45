#include <set>

#include "adapters/wire/configuration_wire_func.h"
#include "adapters/wire/job_wire_func.h"
#include "adapters/wire/peer_wire_func.h"
#include "adapters/wire/sample_message_func.h"
#include "adapters/wire/thrift_bytes_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

wire::PeerEnvelope throughBytes(const wire::PeerEnvelope& envelope)
{
    wire::PeerEnvelope copy;
    EXPECT_TRUE(fromCompactBytes(toCompactBytes(envelope), copy).ok());
    return copy;
}

TEST(PeerWire, SamplesCoverEveryAlternative)
{
    std::set<std::size_t> alternatives;
    for (const PeerPayload& payload : samplePayloads())
        alternatives.insert(payload.index());
    EXPECT_EQ(alternatives.size(), std::variant_size_v<PeerPayload>);
}

// The second encoding equals the first only if fromWire loses no field. The tests below compare the types themselves
// and so show that toWire loses no field either.
TEST(PeerWire, EveryPayloadComesBackAsItWas)
{
    for (const PeerPayload& payload : samplePayloads()) {
        const PeerMessage message { NodeName("n1"), ShardName("ct-a/0"), payload };
        const wire::PeerEnvelope sent = toWire(message);
        const wire::PeerEnvelope received = throughBytes(sent);
        EXPECT_EQ(received, sent);
        WireFault fault;
        const PeerMessage back = fromWire(received, fault);
        EXPECT_TRUE(fault.status().ok()) << fault.status();
        EXPECT_EQ(back.from, message.from);
        EXPECT_EQ(back.shard, message.shard);
        EXPECT_EQ(back.payload.index(), payload.index());
        EXPECT_EQ(toWire(back), sent) << payload.index();
    }
}

TEST(PeerWire, AStartCarriesEveryField)
{
    const StartAttempt start { { { OrganisationName("o"), "k" }, 2 }, ShardName("s"), sampleSpec(), "c",
        samplePlacement() };
    WireFault fault;
    const PeerPayload back = fromWire(toWire(PeerPayload(start)), fault);
    const auto& received = std::get<StartAttempt>(back);
    EXPECT_EQ(received.attempt, start.attempt);
    EXPECT_EQ(received.home, start.home);
    EXPECT_EQ(received.spec, start.spec);
    EXPECT_EQ(received.checkpoint, start.checkpoint);
    EXPECT_EQ(received.placement, start.placement);
}

TEST(PeerWire, AnEndCarriesEveryField)
{
    for (const PeerPayload& payload : samplePayloads()) {
        if (!std::holds_alternative<PartEnded>(payload))
            continue;
        const auto& sent = std::get<PartEnded>(payload);
        WireFault fault;
        const PeerPayload back = fromWire(toWire(payload), fault);
        const auto& received = std::get<PartEnded>(back);
        EXPECT_EQ(received.end, sent.end);
        EXPECT_EQ(received.message, sent.message);
        EXPECT_EQ(received.checkpoint, sent.checkpoint);
        EXPECT_EQ(received.tasks, sent.tasks);
    }
}

TEST(PeerWire, ARecordCarriesEveryField)
{
    const JobRecord record = sampleRecord();
    WireFault fault;
    EXPECT_EQ(fromWire(toWire(record), fault), record);
    EXPECT_TRUE(fault.status().ok());
}

TEST(PeerWire, EveryErrorKindTravels)
{
    for (const ErrorRow& row : errorTable) {
        JobRecord record = sampleRecord();
        record.outcome = row.kind;
        WireFault fault;
        EXPECT_EQ(fromWire(toWire(record), fault).outcome, row.kind);
        EXPECT_FALSE(fault.hasFault());
    }
}

TEST(PeerWire, RefusesAnEnvelopeWithoutPayload)
{
    wire::PeerEnvelope envelope;
    envelope.sender = "n1";
    WireFault fault;
    fromWire(envelope, fault);
    EXPECT_EQ(errorKindOf(fault.status()), ErrorKind::MalformedBody);
}

TEST(PeerWire, RefusesAnEnumeratorOfAnotherVersion)
{
    wire::JobRecord record = toWire(sampleRecord());
    record.phase = 99;
    WireFault fault;
    fromWire(record, fault);
    EXPECT_EQ(errorKindOf(fault.status()), ErrorKind::MalformedBody);
}

} // namespace
} // namespace mangohall
