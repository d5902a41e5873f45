#include "absl/strings/str_cat.h"
#include "adapters/wire/fake_event_sink_base.h"
#include "adapters/wire/peer_handler_base.h"
#include "adapters/wire/sample_message_func.h"
#include "adapters/wire/thrift_peer_port_base.h"
#include "adapters/wire/thrift_peer_server_base.h"
#include "core/error_func.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

const NodeName peer("n2");

std::string addressOf(int port)
{
    return absl::StrCat("127.0.0.1:", port);
}

PeerMessage numbered(Revision revision)
{
    return { NodeName("n1"), ShardName(), RevisionReport { revision } };
}

PeerMessage withResult(std::size_t bytes)
{
    JobStatus status;
    status.results = { std::string(bytes, 'x') };
    return { NodeName("n1"), ShardName("s"), status };
}

// A socket that accepts connections and never reads from them.
class SilentPeer {
public:
    SilentPeer()
        : m_socket("127.0.0.1", 0)
    {
        m_socket.listen();
    }
    ~SilentPeer() { m_socket.close(); }

    int port() const { return m_socket.getPort(); }

private:
    apache::thrift::transport::TServerSocket m_socket;
};

// A peer that serves one connection at a time in the thread of the test.
class SequentialPeer {
public:
    explicit SequentialPeer(EventSink& sink)
        : m_processor(std::make_shared<PeerHandler>(sink))
        , m_socket("127.0.0.1", 0)
    {
        m_socket.listen();
    }
    ~SequentialPeer() { m_socket.close(); }

    int port() const { return m_socket.getPort(); }

    // Accepts a connection and serves it until the other side closes it.
    void serveUntilClosed()
    {
        const auto framed = std::make_shared<apache::thrift::transport::TFramedTransport>(m_socket.accept());
        const auto protocol = std::make_shared<apache::thrift::protocol::TCompactProtocol>(framed);
        try {
            while (m_processor.process(protocol, protocol, nullptr)) { }
        } catch (const apache::thrift::transport::TTransportException& /*closed*/) {
        }
    }

private:
    wire::PeerProcessor m_processor;
    apache::thrift::transport::TServerSocket m_socket;
};

TEST(PeerLoopback, DeliversEveryKindOfMessageInOrder)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    const std::vector<PeerPayload> payloads = samplePayloads();
    for (const PeerPayload& payload : payloads)
        port.send(peer, addressOf(server.port()), { NodeName("n1"), ShardName("s"), payload });
    sink.awaitCount(payloads.size());
    const std::vector<PeerMessage> messages = sink.messages();
    for (std::size_t index = 0; index < payloads.size(); ++index)
        EXPECT_EQ(messages[index].payload.index(), payloads[index].index());
}

TEST(PeerLoopback, SendsQueuedMessagesWhenItStops)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    constexpr std::size_t messageCount = 1000;
    for (std::size_t index = 0; index < messageCount; ++index)
        port.send(peer, addressOf(server.port()), numbered(static_cast<Revision>(index)));
    port.stop();
    EXPECT_EQ(sink.messages().size(), messageCount);
    EXPECT_EQ(port.counters().messages, messageCount);
    port.send(peer, addressOf(server.port()), numbered(0));
    EXPECT_EQ(port.counters().droppedAtStop, 1U);
}

TEST(PeerLoopback, GivesUpOnAPeerThatNeverAnswers)
{
    PeerPortSettings settings;
    settings.acknowledgementTimeout = absl::Milliseconds(50);
    ThriftPeerPort port(settings);
    SilentPeer silent;
    port.send(peer, addressOf(silent.port()), numbered(1));
    port.stop();
    EXPECT_EQ(port.counters().droppedUnacknowledged, 1U);
    EXPECT_EQ(port.counters().messages, 0U);
}

TEST(PeerLoopback, WorksAgainAfterAPeerThatNeverAnswers)
{
    PeerPortSettings settings;
    settings.acknowledgementTimeout = absl::Milliseconds(50);
    ThriftPeerPort port(settings);
    PeerServerSettings serverSettings;
    {
        SilentPeer silent;
        serverSettings.port = silent.port();
        port.send(peer, addressOf(serverSettings.port), numbered(1));
    }
    FakeEventSink sink;
    ThriftPeerServer server(serverSettings, sink);
    ASSERT_TRUE(server.start().ok());
    do {
        port.send(peer, addressOf(serverSettings.port), numbered(2));
    } while (!sink.awaitCountFor(1, absl::Milliseconds(20)));
    port.stop();
    EXPECT_EQ(std::get<RevisionReport>(sink.messages().back().payload).revision, 2);
}

TEST(PeerLoopback, MakesANewConnectionWhenAnOpenOneGoesSilent)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    PeerPortSettings settings;
    settings.acknowledgementTimeout = absl::Milliseconds(50);
    ThriftPeerPort port(settings);
    sink.setBlocked(true);
    port.send(peer, addressOf(server.port()), numbered(1));
    // The message is sent again until it arrives over a second connection.
    while (!sink.awaitCountFor(2, absl::Milliseconds(20)))
        port.send(peer, addressOf(server.port()), numbered(1));
    sink.setBlocked(false);
    port.stop();
    EXPECT_GE(port.counters().connections, 2U);
    EXPECT_GE(port.counters().droppedUnacknowledged, 1U);
}

TEST(PeerLoopback, AHangingPeerDelaysNoOther)
{
    SilentPeer silent;
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    port.send(peer, addressOf(silent.port()), numbered(1));
    port.send(peer, addressOf(server.port()), numbered(2));
    sink.awaitCount(1);
}

TEST(PeerLoopback, DropsTheOldestMessagesOfAFullQueue)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    PeerPortSettings settings;
    settings.maxQueuedMessages = 2;
    settings.acknowledgementTimeout = absl::Hours(1);
    ThriftPeerPort port(settings);
    sink.setBlocked(true);
    port.send(peer, addressOf(server.port()), numbered(0));
    sink.awaitCount(1);
    for (Revision revision = 1; revision <= 5; ++revision)
        port.send(peer, addressOf(server.port()), numbered(revision));
    EXPECT_EQ(port.counters().droppedOldest, 3U);
    sink.setBlocked(false);
    port.stop();
    const std::vector<PeerMessage> messages = sink.messages();
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_EQ(std::get<RevisionReport>(messages[1].payload).revision, 4);
    EXPECT_EQ(std::get<RevisionReport>(messages[2].payload).revision, 5);
}

TEST(PeerLoopback, CarriesOneLargeAnswerAndRefusesALargerOne)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    port.send(peer, addressOf(server.port()), withResult(8 * bytesPerMebibyte));
    port.send(peer, addressOf(server.port()), withResult(defaultMaxFrameBytes));
    port.send(peer, addressOf(server.port()), numbered(1));
    sink.awaitCount(2);
    EXPECT_EQ(std::get<JobStatus>(sink.messages()[0].payload).results[0].size(), 8 * bytesPerMebibyte);
    EXPECT_EQ(port.counters().droppedTooLarge, 1U);
}

TEST(PeerLoopback, TheServerClosesOnAFrameOverItsLimit)
{
    FakeEventSink sink;
    PeerServerSettings serverSettings;
    serverSettings.maxFrameBytes = 1000;
    ThriftPeerServer server(serverSettings, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    port.send(peer, addressOf(server.port()), withResult(2000));
    port.stop();
    EXPECT_EQ(port.counters().droppedUnacknowledged, 1U);
    EXPECT_TRUE(sink.messages().empty());
}

TEST(PeerLoopback, ALongLivedConnectionCarriesMoreThanOneMessageMay)
{
    FakeEventSink sink;
    ThriftPeerServer server({}, sink);
    ASSERT_TRUE(server.start().ok());
    ThriftPeerPort port({});
    constexpr std::size_t messageCount = 20;
    for (std::size_t index = 1; index <= messageCount; ++index) {
        port.send(peer, addressOf(server.port()), withResult(8 * bytesPerMebibyte));
        sink.awaitCount(index);
    }
    port.stop();
    EXPECT_EQ(port.counters().connections, 1U);
}

TEST(PeerLoopback, AnIdleSenderClosesAndReopens)
{
    FakeEventSink sink;
    SequentialPeer served(sink);
    PeerPortSettings settings;
    settings.idleTimeout = absl::Milliseconds(1);
    settings.acknowledgementTimeout = absl::Minutes(1);
    ThriftPeerPort port(settings);
    constexpr std::size_t connectionCount = 3;
    for (std::size_t index = 1; index <= connectionCount; ++index) {
        port.send(peer, addressOf(served.port()), numbered(static_cast<Revision>(index)));
        served.serveUntilClosed();
        EXPECT_EQ(sink.messages().size(), index);
    }
    EXPECT_EQ(port.counters().connections, connectionCount);
}

TEST(PeerLoopback, CountsABadAddress)
{
    ThriftPeerPort port({});
    port.send(peer, "nowhere", numbered(1));
    EXPECT_EQ(port.counters().droppedBadAddress, 1U);
}

TEST(PeerServer, ReportsThatItsPortIsTaken)
{
    SilentPeer silent;
    FakeEventSink sink;
    PeerServerSettings settings;
    settings.port = silent.port();
    ThriftPeerServer server(settings, sink);
    EXPECT_EQ(errorKindOf(server.start()), ErrorKind::Internal);
}

} // namespace
} // namespace mangohall
