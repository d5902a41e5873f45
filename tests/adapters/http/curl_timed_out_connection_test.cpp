// Connections whose request got no response in time.
#include "adapters/http/curl_http_client_base.h"

#include <cerrno>
#include <string>
#include <sys/ioctl.h>
#include <unistd.h>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/http/loopback_socket_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A server that takes one connection and never answers on it. The test reads in its place.
class MuteServer {
public:
    MuteServer() { EXPECT_TRUE(m_listener.listen(1)); }
    ~MuteServer() { ::close(m_connection); }
    MuteServer(const MuteServer&) = delete;
    MuteServer& operator=(const MuteServer&) = delete;

    std::uint16_t port() const { return m_listener.port(); }

    // Waits for the connection.
    void accept()
    {
        m_connection = m_listener.accept();
        ASSERT_GE(m_connection, 0);
    }

    // Reads a request without a body to its end.
    void readRequest() const
    {
        std::string text;
        while (!absl::StrContains(text, "\r\n\r\n")) {
            char byte = 0;
            ASSERT_EQ(::read(m_connection, &byte, 1), 1);
            text.push_back(byte);
        }
    }

    // Number of bytes that have arrived and were not read.
    std::size_t arrivedCount() const
    {
        int count = 0;
        EXPECT_EQ(::ioctl(m_connection, FIONREAD, &count), 0);
        return static_cast<std::size_t>(count);
    }

    // How a connection ended: the number of bytes that were read before, and the error; 0 for an orderly end.
    struct End {
        std::size_t bytes = 0;
        int error = 0;
    };

    End readToEnd() const
    {
        constexpr std::size_t pieceSize = 65536;
        std::vector<char> piece(pieceSize);
        End end;
        ssize_t count = ::read(m_connection, piece.data(), piece.size());
        for (; count > 0; count = ::read(m_connection, piece.data(), piece.size()))
            end.bytes += static_cast<std::size_t>(count);
        end.error = count < 0 ? errno : 0;
        return end;
    }

private:
    LoopbackSocket m_listener;
    int m_connection = -1;
};

HttpRequest requestTo(std::uint16_t port)
{
    HttpRequest request;
    request.method = "POST";
    request.url = absl::StrCat("http://127.0.0.1:", port, "/");
    request.timeout = absl::Milliseconds(200);
    return request;
}

// Guards against a call that is over for its caller and that the system goes on delivering.
TEST(CurlTimedOutConnection, IsReset)
{
    MuteServer server;
    const RealClock clock;
    CurlHttpClient client(clock, {});
    ResponseWaiter waiter;
    client.send(requestTo(server.port()), waiter.done());
    server.accept();
    server.readRequest();
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::TimedOut);
    EXPECT_EQ(server.readToEnd().error, ECONNRESET);
}

// Guards against a request that reaches its server, behind a partition or a full window, after its call has ended.
TEST(CurlTimedOutConnection, DeliversNothingAfterTheEndOfItsCall)
{
    constexpr std::size_t bodySize = 16'000'000;
    MuteServer server;
    const RealClock clock;
    CurlHttpClient client(clock, {});
    HttpRequest request = requestTo(server.port());
    request.body = std::string(bodySize, 'x');
    ResponseWaiter waiter;
    client.send(request, waiter.done());
    server.accept();
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::TimedOut);
    const std::size_t arrived = server.arrivedCount();
    const MuteServer::End end = server.readToEnd();
    EXPECT_EQ(end.bytes, arrived);
    EXPECT_EQ(end.error, ECONNRESET);
}

} // namespace
} // namespace mangohall
