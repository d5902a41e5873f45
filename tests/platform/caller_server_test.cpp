// The HTTP front end for callers over a real connection.
#include "platform/caller_server_base.h"

#include <atomic>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "core/error_func.h"
#include "platform/listener_func.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall::platform {
namespace {

// Each test has an address of its own, which no other test uses, since tests run at the same time.
const char* const idleAddress = "127.0.0.1:18720";
const char* const stopAddress = "127.0.0.1:18721";

// Answers every request at once with the state of a job, until it falls silent like a node whose store is silent.
class AnsweringSink : public batch::CallerSink {
public:
    void setServer(CallerServer& server) { m_server = &server; }
    void fallSilent() { m_isSilent = true; }
    // Waits until a request has come that is not answered.
    void waitForUnanswered() { m_hasUnanswered.WaitForNotification(); }
    void post(batch::CallerEvent event) override
    {
        if (!m_isSilent)
            m_server->answer(event.caller, batch::JobStateAnswer());
        else if (!m_hasUnanswered.HasBeenNotified())
            m_hasUnanswered.Notify();
    }

private:
    CallerServer* m_server = nullptr;
    std::atomic<bool> m_isSilent { false };
    absl::Notification m_hasUnanswered;
};

// A client that keeps its connection between requests.
class KeptConnection {
public:
    explicit KeptConnection(absl::string_view address)
        : m_address(address)
        , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in target = *parseSocketAddress(address);
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)), 0);
        constexpr timeval timeout { 10, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }
    ~KeptConnection() { ::close(m_socket); }
    KeptConnection(const KeptConnection&) = delete;
    KeptConnection& operator=(const KeptConnection&) = delete;

    // Sends a request and returns what the server sends next; empty if it closes the connection or sends nothing for
    // ten seconds.
    std::string call()
    {
        send();
        return receive();
    }

    void send()
    {
        const std::string request = absl::StrCat("GET /queue/1 HTTP/1.1\r\nHost: ", m_address, "\r\n\r\n");
        ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
    }

    std::string receive()
    {
        std::string answer(4096, '\0');
        const ssize_t size = ::recv(m_socket, answer.data(), answer.size(), 0);
        answer.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return answer;
    }

private:
    const std::string m_address;
    const int m_socket;
};

// Guards against a request that is lost because the server closes its idle connection just then: a client that returns
// after half a minute cannot tell a connection that is about to be closed from one that is not.
TEST(CallerServer, KeepsTheIdleConnectionOfAClientThatReturns)
{
    constexpr absl::Duration pause = absl::Seconds(32);
    RealClock clock;
    AnsweringSink sink;
    CallerServerSettings settings;
    settings.address = idleAddress;
    CallerServer server(settings, sink, clock);
    sink.setServer(server);
    ASSERT_TRUE(server.start().ok());
    KeptConnection connection(idleAddress);
    EXPECT_TRUE(absl::StartsWith(connection.call(), "HTTP/1.1 200"));
    absl::SleepFor(pause);
    EXPECT_TRUE(absl::StartsWith(connection.call(), "HTTP/1.1 200"));
}

// Guards against a process that aborts at the end of its grace: the store is silent, and a client sends a request on
// its open connection after the last answers were given. The library ends the process if a connection is still
// suspended when the server stops.
TEST(CallerServer, RefusesARequestAfterTheLastAnswers)
{
    RealClock clock;
    AnsweringSink sink;
    CallerServerSettings settings;
    settings.address = stopAddress;
    CallerServer server(settings, sink, clock);
    sink.setServer(server);
    ASSERT_TRUE(server.start().ok());
    KeptConnection waiting(stopAddress);
    KeptConnection late(stopAddress);
    EXPECT_TRUE(absl::StartsWith(late.call(), "HTTP/1.1 200"));
    sink.fallSilent();
    waiting.send();
    sink.waitForUnanswered();
    server.calls().answerAll(batch::RefusalAnswer { makeError(ErrorKind::OutcomeUnknown, "stopping"), {} });
    EXPECT_TRUE(absl::StartsWith(waiting.receive(), "HTTP/1.1 502"));
    EXPECT_TRUE(absl::StartsWith(late.call(), "HTTP/1.1 503"));
}

} // namespace
} // namespace mangohall::platform
