// Error kinds for refused connections.
#include <algorithm>
#include <array>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/loopback_socket_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A host whose queue of new connections is full, so that no further connection can be made.
class FullHost {
public:
    FullHost()
    {
        EXPECT_TRUE(m_listener.listen(0));
        const auto* address = reinterpret_cast<const sockaddr*>(&m_listener.address());
        for (int& waiting : m_waiting) {
            waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            // Those that the queue still takes are connected, the others go on trying.
            static_cast<void>(::connect(waiting, address, sizeof(sockaddr_in)));
        }
    }
    ~FullHost()
    {
        for (const int waiting : m_waiting)
            ::close(waiting);
    }
    FullHost(const FullHost&) = delete;
    FullHost& operator=(const FullHost&) = delete;

    std::uint16_t port() const { return m_listener.port(); }

private:
    const LoopbackSocket m_listener;
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
    {
        EXPECT_TRUE(m_listener.listen(1));
        m_thread = std::thread([this] { serve(); });
    }
    ~ClosingServer() { m_thread.join(); }
    ClosingServer(const ClosingServer&) = delete;
    ClosingServer& operator=(const ClosingServer&) = delete;

    std::uint16_t port() const { return m_listener.port(); }

private:
    void serve()
    {
        constexpr absl::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const int connection = m_listener.accept();
        readRequest(connection);
        EXPECT_EQ(::write(connection, answer.data(), answer.size()), static_cast<ssize_t>(answer.size()));
        readRequest(connection);
        m_listener.close();
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

    LoopbackSocket m_listener;
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
    const LoopbackSocket refusing;
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
