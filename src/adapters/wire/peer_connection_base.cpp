#include "adapters/wire/peer_connection_base.h"

#include <utility>

#include "core/error_func.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"

namespace mangohall {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

int toMillis(absl::Duration duration)
{
    return static_cast<int>(absl::ToInt64Milliseconds(duration));
}

} // namespace

PeerConnection::PeerConnection(PeerAddress address, const PeerPortSettings& settings)
    : m_address(std::move(address))
    , m_settings(settings)
{
}

absl::Status PeerConnection::open()
{
    if (isOpen())
        return absl::OkStatus();
    m_socket = std::make_shared<TSocket>(m_address.ip, m_address.port);
    m_socket->setConnTimeout(toMillis(m_settings.connectTimeout));
    m_socket->setSendTimeout(toMillis(m_settings.sendTimeout));
    try {
        m_socket->open();
    } catch (const std::exception& error) {
        return makeError(ErrorKind::OwnerUnreachable, error.what());
    }
    const auto framed = std::make_shared<TFramedTransport>(m_socket);
    m_client = std::make_unique<wire::PeerClient>(std::make_shared<TCompactProtocol>(framed));
    return absl::OkStatus();
}

absl::Status PeerConnection::deliver(const std::vector<wire::PeerEnvelope>& batch, std::size_t bytes)
{
    absl::Status opened = open();
    if (!opened.ok())
        return opened;
    try {
        m_socket->setRecvTimeout(toMillis(acknowledgementTimeout(bytes)));
        m_client->deliver(batch);
        return absl::OkStatus();
    } catch (const std::exception& error) {
        close();
        return makeError(ErrorKind::OwnerUnreachable, error.what());
    }
}

void PeerConnection::close()
{
    m_client.reset();
    if (m_socket != nullptr)
        m_socket->close();
    m_socket.reset();
}

absl::Duration PeerConnection::acknowledgementTimeout(std::size_t bytes) const
{
    const absl::Duration transfer
        = absl::Seconds(1) * static_cast<double>(bytes) / static_cast<double>(m_settings.slowestLinkBytesPerSecond);
    return m_settings.acknowledgementTimeout + transfer;
}

} // namespace mangohall
