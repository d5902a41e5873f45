#include "adapters/api/api_connection_base.h"

#include <sys/socket.h>

#include "adapters/api/api_context_type.h"

namespace mangohall {

namespace {

int socketOf(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

} // namespace

ApiConnection::ApiConnection(ApiContext& context, MHD_Connection* connection, absl::string_view client)
    : m_context(context)
    , m_client(client)
    , m_socket(socketOf(connection))
    , m_id(context.connections.open(*this))
{
    const bool isWithinClientLimit = m_context.limiter.add(m_client);
    if (m_context.connections.isFull())
        m_context.connections.displaceLongestSilent();
    m_isWithinLimits = isWithinClientLimit && !m_context.connections.isOverfull();
}

// The library closes the socket after this, so that no other connection has its number while it is in the table.
ApiConnection::~ApiConnection()
{
    m_context.connections.close(m_id);
    m_context.limiter.remove(m_client);
}

ApiConnection* ApiConnection::of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<ApiConnection*>(info->socket_context);
}

void ApiConnection::recordData()
{
    m_context.connections.markAwaiting(m_id);
}

void ApiConnection::recordRequest()
{
    m_context.connections.markOccupied(m_id);
}

void ApiConnection::recordResponse()
{
    m_context.connections.markAwaiting(m_id);
}

void ApiConnection::shutDown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

} // namespace mangohall
