// Error kinds for refused connections.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A port that refuses connections. It is bound, so that no other process can listen on it.
class RefusingPort {
public:
    RefusingPort()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_address);
        auto* address = reinterpret_cast<sockaddr*>(&m_address);
        if (::bind(m_socket, address, size) == 0)
            ::getsockname(m_socket, address, &size);
    }
    ~RefusingPort() { ::close(m_socket); }
    RefusingPort(const RefusingPort&) = delete;
    RefusingPort& operator=(const RefusingPort&) = delete;

    std::uint16_t port() const { return ntohs(m_address.sin_port); }

private:
    int m_socket;
    sockaddr_in m_address {};
};

// A host whose queue of new connections is full, so that no further connection can be made.
class FullHost {
public:
    FullHost()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(m_listener, generic, size), 0);
        EXPECT_EQ(::listen(m_listener, 0), 0);
        EXPECT_EQ(::getsockname(m_listener, generic, &size), 0);
        m_port = ntohs(address.sin_port);
        for (int& waiting : m_waiting) {
            waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            ::connect(waiting, generic, size);
        }
    }
    ~FullHost()
    {
        for (const int waiting : m_waiting)
            ::close(waiting);
        ::close(m_listener);
    }
    FullHost(const FullHost&) = delete;
    FullHost& operator=(const FullHost&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    const int m_listener;
    std::uint16_t m_port = 0;
    std::array<int, 4> m_waiting {};
};

// Sockets of another part of the process, which get the lowest numbers that are free.
class OtherSockets {
public:
    OtherSockets()
    {
        for (auto& pair : m_pairs)
            EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair.data()), 0);
    }
    ~OtherSockets()
    {
        for (const auto& pair : m_pairs) {
            for (const int socket : pair)
                ::close(socket);
        }
    }
    OtherSockets(const OtherSockets&) = delete;
    OtherSockets& operator=(const OtherSockets&) = delete;

    // Whether each of them still carries data, in both directions.
    bool areOpen() const
    {
        return std::all_of(m_pairs.begin(), m_pairs.end(),
            [](const auto& pair) { return carries(pair[0], pair[1]) && carries(pair[1], pair[0]); });
    }

private:
    static bool carries(int from, int to)
    {
        char byte = 'x';
        return ::send(from, &byte, 1, MSG_NOSIGNAL) == 1 && ::read(to, &byte, 1) == 1;
    }

    std::array<std::array<int, 2>, 8> m_pairs {};
};

// Answers one request, reads a second one on the same connection, then closes the listening socket and the connection.
class ClosingServer {
public:
    ClosingServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(m_address);
        auto* address = reinterpret_cast<sockaddr*>(&m_address);
        if (::bind(m_listener, address, size) == 0 && ::listen(m_listener, 1) == 0)
            ::getsockname(m_listener, address, &size);
        m_thread = std::thread([this] { serve(); });
    }
    ~ClosingServer() { m_thread.join(); }
    ClosingServer(const ClosingServer&) = delete;
    ClosingServer& operator=(const ClosingServer&) = delete;

    std::uint16_t port() const { return ntohs(m_address.sin_port); }

private:
    void serve() const
    {
        constexpr absl::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const int connection = ::accept(m_listener, nullptr, nullptr);
        readRequest(connection);
        EXPECT_EQ(::write(connection, answer.data(), answer.size()), static_cast<ssize_t>(answer.size()));
        readRequest(connection);
        ::close(m_listener);
        ::close(connection);
    }

    static void readRequest(int connection)
    {
        std::string text;
        while (!absl::StrContains(text, "\r\n\r\n")) {
            char byte = 0;
            if (::read(connection, &byte, 1) != 1)
                return;
            text.push_back(byte);
        }
    }

    int m_listener;
    sockaddr_in m_address {};
    std::thread m_thread;
};

HttpRequest requestTo(std::uint16_t port)
{
    HttpRequest request;
    request.url = absl::StrCat("http://127.0.0.1:", port, "/");
    request.timeout = absl::Seconds(60);
    return request;
}

TEST(CurlRefusedConnection, DoesNotKnowTheOutcomeOfARequestSentBeforeTheRefusal)
{
    const ClosingServer server;
    const RealClock clock;
    CurlHttpClient client(clock, {});
    ResponseWaiter first;
    client.send(requestTo(server.port()), first.done());
    ASSERT_TRUE(first.wait().ok());
    ResponseWaiter second;
    client.send(requestTo(server.port()), second.done());
    EXPECT_EQ(errorKindOf(second.wait().status()), ErrorKind::PeerGone);
}

TEST(CurlRefusedConnection, ReportsThatNothingWasSent)
{
    const RefusingPort refusing;
    const RealClock clock;
    CurlHttpClient client(clock, {});
    ResponseWaiter waiter;
    client.send(requestTo(refusing.port()), waiter.done());
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::OwnerUnreachable);
}

// Guards against callers whose connection is closed without an answer: the library closes a socket that could not be
// connected without telling, its number became that of a caller's connection, and the next timeout of the host shut
// that connection down.
TEST(CurlRefusedConnection, LeavesSocketsOfOthersAloneAfterATimeout)
{
    const FullHost host;
    const RealClock clock;
    CurlHttpClient client(clock, {});
    HttpRequest request = requestTo(host.port());
    request.timeout = absl::Milliseconds(100);
    ResponseWaiter first;
    client.send(request, first.done());
    EXPECT_EQ(errorKindOf(first.wait().status()), ErrorKind::TimedOut);
    const OtherSockets others;
    ResponseWaiter second;
    client.send(request, second.done());
    EXPECT_EQ(errorKindOf(second.wait().status()), ErrorKind::TimedOut);
    EXPECT_TRUE(others.areOpen());
}

} // namespace
} // namespace mangohall
