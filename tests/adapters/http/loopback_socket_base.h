// A bound socket for tests that need a server which does what no library would do.
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mangohall {

// A TCP socket that is bound to a free port of 127.0.0.1, so that no other process can listen there. It refuses
// connections until it listens.
class LoopbackSocket {
public:
    LoopbackSocket()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_address);
        auto* address = reinterpret_cast<sockaddr*>(&m_address);
        if (::bind(m_socket, address, size) == 0)
            ::getsockname(m_socket, address, &size);
    }
    ~LoopbackSocket() { close(); }
    LoopbackSocket(const LoopbackSocket&) = delete;
    LoopbackSocket& operator=(const LoopbackSocket&) = delete;

    std::uint16_t port() const { return ntohs(m_address.sin_port); }
    const sockaddr_in& address() const { return m_address; }

    // Returns whether the socket listens.
    bool listen(int backlog) const { return ::listen(m_socket, backlog) == 0; }
    // Waits for a connection and returns its descriptor; -1 once the socket was shut down.
    int accept() const { return ::accept(m_socket, nullptr, nullptr); }
    void shutDown() const { ::shutdown(m_socket, SHUT_RDWR); }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
    sockaddr_in m_address {};
};

} // namespace mangohall
