#include "programs/entry/crowd_client_base.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace mangohall {

namespace {

constexpr int quietMs = 2000;
constexpr int answerTimeoutMs = 60000;

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

Crowd::Crowd(std::uint16_t port, std::size_t connections)
    : m_clients(connections)
{
    for (Client& client : m_clients) {
        client.socket = connectTo(port);
        if (client.socket >= 0)
            ::fcntl(client.socket, F_SETFL, O_NONBLOCK);
    }
}

Crowd::~Crowd()
{
    for (Client& client : m_clients)
        closeSocket(client);
}

void Crowd::closeSocket(Client& client)
{
    if (client.socket >= 0)
        ::close(client.socket);
    client.socket = -1;
}

void Crowd::receive(Client& client)
{
    std::array<char, 4096> block {};
    const ssize_t size = ::recv(client.socket, block.data(), block.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR))
        closeSocket(client);
}

int Crowd::turn(absl::string_view text, std::size_t pieceBytes, int timeoutMs)
{
    std::vector<pollfd> polled;
    std::vector<Client*> clients;
    bool isSending = text.empty();
    for (Client& client : m_clients) {
        if (client.socket < 0)
            continue;
        const bool hasMore = client.sentBytes < text.size();
        isSending = isSending || hasMore;
        polled.push_back({ client.socket, static_cast<short>(hasMore ? POLLIN | POLLOUT : POLLIN), 0 });
        clients.push_back(&client);
    }
    if (!isSending || polled.empty())
        return 0;
    const int ready = ::poll(polled.data(), polled.size(), timeoutMs);
    for (std::size_t index = 0; ready > 0 && index < polled.size(); ++index) {
        Client& client = *clients[index];
        if ((polled[index].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
            receive(client);
        if (client.socket < 0 || (polled[index].revents & POLLOUT) == 0)
            continue;
        const absl::string_view piece = text.substr(client.sentBytes, pieceBytes);
        const ssize_t size = ::send(client.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (size > 0)
            client.sentBytes += static_cast<std::size_t>(size);
        else if (errno != EAGAIN && errno != EINTR)
            closeSocket(client);
    }
    return ready;
}

void Crowd::send(absl::string_view text, std::size_t pieceBytes)
{
    while (turn(text, pieceBytes, quietMs) > 0) { }
}

bool Crowd::finish()
{
    for (const Client& client : m_clients)
        ::shutdown(client.socket, SHUT_WR);
    while (turn("", 0, answerTimeoutMs) > 0) { }
    return std::all_of(m_clients.begin(), m_clients.end(), [](const Client& client) { return client.socket < 0; });
}

std::string requestOnce(std::uint16_t port, absl::string_view request)
{
    std::string response;
    const int socket = connectTo(port);
    if (socket < 0)
        return response;
    const timeval timeout { answerTimeoutMs / 1000, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ssize_t size = 1;
    while (!request.empty() && size > 0) {
        size = ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
        request.remove_prefix(size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    std::array<char, 4096> block {};
    while ((size = ::recv(socket, block.data(), block.size(), 0)) > 0)
        response.append(block.data(), static_cast<std::size_t>(size));
    ::close(socket);
    return response;
}

} // namespace mangohall
