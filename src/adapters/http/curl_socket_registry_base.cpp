#include "adapters/http/curl_socket_registry_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mangohall {

namespace {

// Returns the local port of a socket; 0 if it has none.
std::uint16_t localPort(int socket)
{
    sockaddr_storage address = {};
    socklen_t size = sizeof(address);
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    if (address.ss_family == AF_INET)
        return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    return 0;
}

} // namespace

bool CurlSocketRegistry::add(absl::string_view host, int socket, std::uint16_t port)
{
    if (socket < 0 || localPort(socket) != port)
        return false;
    remove(socket);
    m_socketsByHost[host].insert(socket);
    m_hostBySocket[socket] = std::string(host);
    return true;
}

int CurlSocketRegistry::close(int socket)
{
    remove(socket);
    // After an orderly close, the system would go on sending what was not delivered.
    constexpr linger reset = { 1, 0 };
    static_cast<void>(::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)));
    return ::close(socket);
}

void CurlSocketRegistry::remove(int socket)
{
    const auto host = m_hostBySocket.find(socket);
    if (host == m_hostBySocket.end())
        return;
    const auto sockets = m_socketsByHost.find(host->second);
    sockets->second.erase(socket);
    if (sockets->second.empty())
        m_socketsByHost.erase(sockets);
    m_hostBySocket.erase(host);
}

int CurlSocketRegistry::findByLocalPort(absl::string_view host, std::uint16_t port) const
{
    const auto sockets = m_socketsByHost.find(host);
    if (sockets == m_socketsByHost.end())
        return -1;
    for (const int socket : sockets->second) {
        if (localPort(socket) == port)
            return socket;
    }
    return -1;
}

void CurlSocketRegistry::shutDownIdle(absl::string_view host, const absl::flat_hash_set<int>& inUse)
{
    const auto sockets = m_socketsByHost.find(host);
    if (sockets == m_socketsByHost.end())
        return;
    for (const int socket : sockets->second) {
        if (!inUse.contains(socket))
            ::shutdown(socket, SHUT_RDWR);
    }
}

} // namespace mangohall
