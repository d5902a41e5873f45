#include "adapters/wire/thrift_peer_server_base.h"

#include <utility>

#include "adapters/wire/peer_handler_base.h"
#include "adapters/wire/thrift_bytes_func.h"
#include "adapters/wire/thrift_output_func.h"
#include "core/error_func.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"

namespace mangohall {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportFactory;

// Creates framed transports that reject a frame larger than the limit.
class LimitedFrameFactory : public TTransportFactory {
public:
    explicit LimitedFrameFactory(std::size_t maxFrameBytes)
    {
        m_limits->setMaxFrameSize(static_cast<int>(maxFrameBytes));
    }

    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> transport) override
    {
        return std::make_shared<TFramedTransport>(std::move(transport), m_limits);
    }

private:
    const std::shared_ptr<TConfiguration> m_limits = std::make_shared<TConfiguration>();
};

} // namespace

// Sets the state of the server to Serving once its socket is bound.
class ThriftPeerServer::StartListener : public TServerEventHandler {
public:
    explicit StartListener(ThriftPeerServer& server)
        : m_server(server)
    {
    }

    void preServe() override { m_server.setState(State::Serving); }

private:
    ThriftPeerServer& m_server;
};

ThriftPeerServer::ThriftPeerServer(const PeerServerSettings& settings, EventSink& sink)
    : m_socket(std::make_shared<TServerSocket>(settings.ip, settings.port))
{
    silenceThriftOutput();
    m_socket->setRecvTimeout(static_cast<int>(absl::ToInt64Milliseconds(settings.idleTimeout)));
    const auto processor = std::make_shared<wire::PeerProcessor>(std::make_shared<PeerHandler>(sink));
    const auto protocols = std::make_shared<TCompactProtocolFactory>();
    protocols->setContainerSizeLimit(maxListEntries);
    m_server = std::make_unique<TThreadedServer>(
        processor, m_socket, std::make_shared<LimitedFrameFactory>(settings.maxFrameBytes), protocols);
    m_server->setConcurrentClientLimit(settings.maxConnections);
    m_server->setServerEventHandler(std::make_shared<StartListener>(*this));
}

ThriftPeerServer::~ThriftPeerServer()
{
    stop();
}

absl::Status ThriftPeerServer::start()
{
    m_thread = std::thread([this] { serve(); });
    const absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(this, &ThriftPeerServer::hasStarted));
    return m_status;
}

int ThriftPeerServer::port() const
{
    return m_socket->getPort();
}

void ThriftPeerServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

void ThriftPeerServer::serve()
{
    try {
        m_server->serve();
    } catch (const std::exception& error) {
        const absl::MutexLock lock(&m_mutex);
        m_status = makeError(ErrorKind::Internal, error.what());
    }
    setState(State::Ended);
}

void ThriftPeerServer::setState(State state)
{
    const absl::MutexLock lock(&m_mutex);
    m_state = state;
}

} // namespace mangohall
