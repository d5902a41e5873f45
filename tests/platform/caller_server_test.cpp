// The HTTP front end for callers over a real connection.
#include "platform/caller_server_base.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

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
const char* const bodyAddress = "127.0.0.1:18722";
const char* const refusedBodyAddress = "127.0.0.1:18724";
const char* const fullAddress = "127.0.0.1:18725";
const char* const lateBodyAddress = "127.0.0.1:18723";
const char* const waitingAddress = "127.0.0.1:18726";

// Answers every request at once with the state of a job, until it falls silent like a node whose store is silent.
class AnsweringSink : public batch::CallerSink {
public:
    void setServer(CallerServer& server) { m_server = &server; }
    void fallSilent() { m_isSilent = true; }
    // Waits until a request has come that is not answered.
    void waitForUnanswered() { m_hasUnanswered.WaitForNotification(); }
    int posts() const { return m_posts; }
    void post(batch::CallerEvent event) override
    {
        ++m_posts;
        if (!m_isSilent)
            m_server->answer(event.caller, batch::JobStateAnswer());
        else if (!m_hasUnanswered.HasBeenNotified())
            m_hasUnanswered.Notify();
    }

private:
    CallerServer* m_server = nullptr;
    std::atomic<bool> m_isSilent { false };
    std::atomic<int> m_posts { 0 };
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

    void send() { sendText(absl::StrCat("GET /queue/1 HTTP/1.1\r\nHost: ", m_address, "\r\n\r\n")); }

    // Sends the head of a submission with the header line, and the part of its body.
    void sendSubmission(absl::string_view header, absl::string_view body)
    {
        sendText(absl::StrCat("POST /queue/1 HTTP/1.1\r\nHost: ", m_address, "\r\n", header, "\r\n\r\n", body));
    }

    void sendText(const std::string& text) { ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }

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

// A server whose budget and size limit are small.
class BodyLimitsOfCallerServer : public testing::Test {
protected:
    void startServer(const char* address, std::size_t budgetBytes, absl::Duration completionTime,
        unsigned maxConnections = CallerServerSettings().maxConnections)
    {
        CallerServerSettings settings;
        settings.maxConnections = maxConnections;
        settings.address = address;
        settings.maxBodyBytes = 20000;
        settings.bodies = { budgetBytes, completionTime };
        m_server = std::make_unique<CallerServer>(settings, m_sink, m_clock);
        m_sink.setServer(*m_server);
        ASSERT_TRUE(m_server->start().ok());
    }

    // Waits until the server holds the number of unfinished bodies.
    void waitForBodies(std::size_t count)
    {
        for (int tries = 0; tries < 500 && m_server->bodies().size() != count; ++tries)
            absl::SleepFor(absl::Milliseconds(20));
        EXPECT_EQ(m_server->bodies().size(), count);
    }

    // Waits until the unfinished bodies hold at least the number of bytes.
    void waitForBytes(std::size_t bytes)
    {
        for (int tries = 0; tries < 500 && m_server->bodies().heldBytes() < bytes; ++tries)
            absl::SleepFor(absl::Milliseconds(20));
        EXPECT_GE(m_server->bodies().heldBytes(), bytes);
    }

    RealClock m_clock;
    AnsweringSink m_sink;
    std::unique_ptr<CallerServer> m_server;
};

// Guards against a budget that leaks until everything is refused.
TEST_F(BodyLimitsOfCallerServer, HoldNothingAfterEachKindOfEnd)
{
    startServer(bodyAddress, 25000, absl::Seconds(30));
    KeptConnection complete(bodyAddress);
    complete.sendSubmission("Content-Length: 5000", std::string(5000, ' '));
    EXPECT_TRUE(absl::StartsWith(complete.receive(), "HTTP/1.1 200"));
    EXPECT_EQ(m_server->bodies().heldBytes(), 0U);
    EXPECT_EQ(m_sink.posts(), 1);

    {
        KeptConnection leaving(bodyAddress);
        leaving.sendSubmission("Content-Length: 5000", std::string(4999, ' '));
        waitForBodies(1);
        waitForBytes(4999);
    }
    waitForBodies(0);

    KeptConnection announced(bodyAddress);
    announced.sendSubmission("Content-Length: 20001", "");
    const std::string tooLarge = announced.receive();
    EXPECT_TRUE(absl::StartsWith(tooLarge, "HTTP/1.1 413"));
    EXPECT_TRUE(absl::StrContains(tooLarge, "Connection: close"));

    KeptConnection unannounced(bodyAddress);
    unannounced.sendSubmission("Transfer-Encoding: chunked", absl::StrCat("7530\r\n", std::string(30000, ' ')));
    EXPECT_EQ(unannounced.receive(), "");
    waitForBodies(0);

    KeptConnection evicted(bodyAddress);
    evicted.sendSubmission("Content-Length: 19000", std::string(18999, ' '));
    waitForBytes(18999);
    complete.sendSubmission("Content-Length: 10000", std::string(10000, ' '));
    EXPECT_TRUE(absl::StartsWith(complete.receive(), "HTTP/1.1 200"));
    EXPECT_EQ(evicted.receive(), "");
    waitForBodies(0);

    EXPECT_EQ(m_server->bodies().heldBytes(), 0U);
    EXPECT_EQ(m_server->bodies().endCount(BodyEnd::TooLarge), 2U);
    EXPECT_EQ(m_server->bodies().endCount(BodyEnd::Evicted), 1U);
    EXPECT_EQ(m_sink.posts(), 2);
}

// Guards against a refusal of a request that was posted, and of the next request on the connection.
TEST_F(BodyLimitsOfCallerServer, RefuseABodyThatExceedsTheBudget)
{
    startServer(refusedBodyAddress, 10000, absl::Seconds(30));
    KeptConnection refused(refusedBodyAddress);
    refused.sendSubmission("Content-Length: 15000", std::string(15000, ' '));
    const std::string refusal = refused.receive();
    EXPECT_TRUE(absl::StartsWith(refusal, "HTTP/1.1 503"));
    EXPECT_TRUE(absl::StrContains(refusal, "Retry-After: 1"));
    EXPECT_EQ(m_server->bodies().endCount(BodyEnd::Refused), 1U);
    EXPECT_EQ(m_server->bodies().size(), 0U);
    EXPECT_EQ(m_sink.posts(), 0);
    EXPECT_TRUE(absl::StartsWith(refused.call(), "HTTP/1.1 200"));
}

// Guards against clients that occupy every connection with bodies they never complete.
TEST_F(BodyLimitsOfCallerServer, LeaveAConnectionForTheNextCaller)
{
    startServer(fullAddress, 25000, absl::Minutes(5), 4);
    std::vector<std::unique_ptr<KeptConnection>> crowd;
    for (int client = 0; client < 10; ++client) {
        crowd.push_back(std::make_unique<KeptConnection>(fullAddress));
        crowd.back()->sendSubmission("Content-Length: 10", client % 2 == 0 ? "" : "   ");
    }
    KeptConnection ordinary(fullAddress);
    EXPECT_TRUE(absl::StartsWith(ordinary.call(), "HTTP/1.1 200"));
    crowd.clear();
    waitForBodies(0);
    EXPECT_EQ(m_server->bodies().heldBytes(), 0U);
}

// Guards against unfinished bodies that stay for the idle timeout, also if nothing else arrives at the server, and
// against that shorter time being applied to the connection after a complete body.
TEST_F(BodyLimitsOfCallerServer, CloseTheConnectionOfAnUnfinishedBody)
{
    startServer(lateBodyAddress, 25000, absl::Seconds(1));
    KeptConnection kept(lateBodyAddress);
    kept.sendSubmission("Content-Length: 5", "     ");
    EXPECT_TRUE(absl::StartsWith(kept.receive(), "HTTP/1.1 200"));
    KeptConnection late(lateBodyAddress);
    late.sendSubmission("Content-Length: 5000", "   ");
    EXPECT_EQ(late.receive(), "");
    waitForBodies(0);
    EXPECT_EQ(m_server->bodies().endCount(BodyEnd::Abandoned), 1U);
    EXPECT_TRUE(absl::StartsWith(kept.call(), "HTTP/1.1 200"));
}

// Guards against waiting callers who take every connection while the store is silent.
TEST_F(BodyLimitsOfCallerServer, RefuseACallWhileTooManyWait)
{
    startServer(waitingAddress, 25000, absl::Minutes(5), 8);
    m_sink.fallSilent();
    std::vector<std::unique_ptr<KeptConnection>> waiting;
    for (int caller = 0; caller < 7; ++caller) {
        waiting.push_back(std::make_unique<KeptConnection>(waitingAddress));
        waiting.back()->send();
    }
    for (int tries = 0; tries < 500 && m_server->calls().size() < 7; ++tries)
        absl::SleepFor(absl::Milliseconds(20));
    KeptConnection refused(waitingAddress);
    const std::string answer = refused.call();
    EXPECT_TRUE(absl::StartsWith(answer, "HTTP/1.1 503"));
    EXPECT_TRUE(absl::StrContains(answer, "Retry-After: 1"));
    EXPECT_EQ(m_sink.posts(), 7);
    m_server->calls().answerAll(batch::JobStateAnswer());
}

} // namespace
} // namespace mangohall::platform
