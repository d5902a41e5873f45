// HTTP server on a loopback address; the test answers in place of the node.
#include "adapters/api/api_server_base.h"

#include <atomic>
#include <memory>
#include <thread>

#include "absl/strings/str_cat.h"
#include "adapters/api/fake_node_base.h"
#include "adapters/api/test_client_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view jobBody = R"({"service":"regdesk"})";

bool contains(const std::string& text, absl::string_view part)
{
    return text.find(std::string(part)) != std::string::npos;
}

// Advances by ten seconds each time it is read.
class AutoAdvancingClock : public Clock {
public:
    absl::Time now() const override { return absl::FromUnixSeconds(m_seconds += 10); }

private:
    mutable std::atomic<std::int64_t> m_seconds { 0 };
};

class ApiServerTest : public testing::Test {
protected:
    ApiServerTest()
    {
        m_settings.tokens = {
            { "op", true, OrganisationName() },
            { "za", false, OrganisationName("zagara") },
        };
        m_settings.maxBodyBytes = 4096;
        m_settings.maxHeaderBytes = 2048;
        m_settings.maxWatches = 2;
        // Long enough that heartbeats occur only in tests that set another period.
        m_settings.watchHeartbeatPeriod = absl::Hours(1);
    }

    void startServer()
    {
        m_server = std::make_unique<ApiServer>(m_settings, m_sink, m_reports, m_clock);
        ASSERT_TRUE(m_server->start().ok());
    }

    std::string sendRequest(
        absl::string_view method, absl::string_view target, absl::string_view token, absl::string_view body = "") const
    {
        return exchange(m_server->port(), requestText(method, target, token, body));
    }

    void answerJob(CallerId caller, absl::string_view result)
    {
        JobAnswer answer;
        answer.status.phase = JobPhase::Ended;
        answer.status.results = { std::string(result) };
        m_server->answer(caller, answer, true);
    }

    ApiSettings m_settings;
    FakeSink m_sink;
    FakeReports m_reports;
    StoppedClock m_clock;
    std::unique_ptr<ApiServer> m_server;
};

TEST_F(ApiServerTest, ServesItsOwnPages)
{
    startServer();
    EXPECT_TRUE(contains(sendRequest("GET", "/healthz", ""), "200 OK"));
    EXPECT_TRUE(contains(sendRequest("GET", "/readyz", ""), "503"));
    EXPECT_TRUE(contains(sendRequest("GET", "/metrics", "op"), "mangohall_up 1"));
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/reports/burn", "op"), "objectives"));
    EXPECT_TRUE(contains(sendRequest("GET", "/reports/burn", "op"), "<html>"));
    EXPECT_EQ(m_sink.count(), 0U);
}

TEST_F(ApiServerTest, IsReadyOnceTheNodeHasReadTheConfiguration)
{
    startServer();
    EXPECT_TRUE(contains(sendRequest("GET", "/readyz", ""), "503"));
    EXPECT_EQ(m_sink.count(), 0U);
    m_server->setReady(true);
    const CallerEvent question = m_sink.awaitCall(1);
    m_server->answer(question.caller, ErrorAnswer { ErrorKind::StoreUnavailable, "not read yet", 0, 0 }, true);
    EXPECT_TRUE(contains(sendRequest("GET", "/readyz", ""), "503"));
    const CallerEvent again = m_sink.awaitCall(2);
    m_server->answer(again.caller, NodesAnswer(), true);
    EXPECT_TRUE(contains(sendRequest("GET", "/readyz", ""), "200 OK"));
    EXPECT_EQ(m_sink.count(), 2U);
    m_server->setReady(false);
    EXPECT_TRUE(contains(sendRequest("GET", "/readyz", ""), "503"));
}

TEST_F(ApiServerTest, HandsEachCallerItsOwnAnswer)
{
    startServer();
    TestConnection first(m_server->port());
    first.send(requestText("PUT", "/v1/jobs/k1?waitMs=60000", "za", jobBody));
    const CallerEvent firstCall = m_sink.awaitCall(1);
    TestConnection second(m_server->port());
    second.send(requestText("PUT", "/v1/jobs/k2?waitMs=60000", "za", jobBody));
    const CallerEvent secondCall = m_sink.awaitCall(2);
    EXPECT_EQ(std::get<SubmitRequest>(firstCall.request).key.requestKey, "k1");
    EXPECT_EQ(secondCall.identity.organisation, OrganisationName("zagara"));
    answerJob(secondCall.caller, "of the second");
    answerJob(firstCall.caller, "of the first");
    EXPECT_TRUE(contains(first.readResponse(), "of the first"));
    EXPECT_TRUE(contains(second.readResponse(), "of the second"));
    // The same connection serves another request.
    first.send(requestText("GET", "/v1/jobs/k1", "za"));
    answerJob(m_sink.awaitCall(3).caller, "again");
    EXPECT_TRUE(contains(first.readResponse(), "again"));
}

TEST_F(ApiServerTest, NeedsNoThreadForAWaitingCaller)
{
    m_settings.threads = 1;
    startServer();
    std::vector<std::unique_ptr<TestConnection>> connections;
    constexpr std::size_t callers = 200;
    for (std::size_t index = 0; index < callers; ++index) {
        connections.push_back(std::make_unique<TestConnection>(m_server->port()));
        connections.back()->send(requestText("GET", "/v1/jobs/k1?waitMs=60000", "za"));
    }
    m_sink.await(callers);
    EXPECT_TRUE(contains(sendRequest("GET", "/healthz", ""), "200 OK"));
    for (std::size_t index = 1; index <= callers; ++index)
        answerJob(m_sink.awaitCall(index).caller, "done");
    for (const std::unique_ptr<TestConnection>& connection : connections)
        EXPECT_TRUE(contains(connection->readResponse(), "done"));
}

TEST_F(ApiServerTest, SendsALongAnswerWhole)
{
    startServer();
    TestConnection connection(m_server->port());
    connection.send(requestText("GET", "/v1/jobs/k1", "za"));
    const std::string result(std::size_t { 3 } << 20U, 'r');
    answerJob(m_sink.awaitCall(1).caller, result);
    EXPECT_TRUE(contains(connection.readResponse(), result));
}

TEST_F(ApiServerTest, RefusesWithTheMatchingErrorKind)
{
    startServer();
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/jobs/k1", ""), "\"unauthenticated\""));
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/jobs/k1", "wrong"), "401"));
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/jobs/k1?organisation=caroni", "za"), "\"permissionDenied\""));
    EXPECT_TRUE(contains(sendRequest("PUT", "/v1/jobs/k1", "za", "{"), "\"malformedBody\""));
    EXPECT_TRUE(contains(sendRequest("PUT", "/v1/jobs/k1", "za", R"({"service":"a","x":1})"), "\"unknownField\""));
    EXPECT_EQ(m_sink.count(), 0U);
}

TEST_F(ApiServerTest, RefusesLongBodiesAndHeaders)
{
    startServer();
    const std::string longBody(10000, ' ');
    EXPECT_TRUE(contains(sendRequest("PUT", "/v1/jobs/k1", "za", longBody), "\"bodyTooLarge\""));
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/jobs/k1?x=" + std::string(3000, 'x'), "za"), "\"bodyTooLarge\""));
    // Without Content-Length the body is measured while it arrives, and not read to its end. The library takes no
    // response in the middle of a body, so the connection is closed without one.
    TestConnection connection(m_server->port());
    connection.send(absl::StrCat("PUT /v1/jobs/k1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer za\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2710\r\n", longBody, "\r\n"));
    EXPECT_EQ(connection.readAll(), "");
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
    EXPECT_EQ(m_server->limitCount(ClientLimit::BodyTooLarge), 2U);
    EXPECT_TRUE(contains(sendRequest("GET", "/healthz", ""), "200 OK"));
    EXPECT_EQ(m_sink.count(), 0U);
}

// The body is not sent here: a server that waits for it would hold the connection and the body of a refused request.
TEST_F(ApiServerTest, RefusesAtTheHeadWhatNeedsNoBody)
{
    startServer();
    const auto refusalOf = [this](absl::string_view target, absl::string_view token, std::size_t length) {
        TestConnection connection(m_server->port());
        connection.send(absl::StrCat("PUT ", target, " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ", token,
            "\r\nExpect: 100-continue\r\nContent-Length: ", length, "\r\n\r\n"));
        return connection.readAll();
    };
    const std::string tooLarge = refusalOf("/v1/jobs/k1", "za", 4097);
    EXPECT_TRUE(contains(tooLarge, "413"));
    EXPECT_TRUE(contains(tooLarge, "Connection: close"));
    EXPECT_TRUE(contains(refusalOf("/v1/jobs/k1", "wrong", 100), "\"unauthenticated\""));
    EXPECT_TRUE(contains(refusalOf("/v2/jobs", "za", 100), "\"notFound\""));
    EXPECT_TRUE(contains(refusalOf("/v1/drains/d", "za", 100), "\"permissionDenied\""));
    EXPECT_EQ(m_sink.count(), 0U);
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
}

// Guards against a connection that is reset while the client sends its body, so that it never reads why it is refused.
TEST_F(ApiServerTest, LetsAClientReadARefusalAfterItsBody)
{
    startServer();
    const auto refusalOf = [this](absl::string_view target, absl::string_view token) {
        constexpr int pieces = 40;
        const std::string piece(100, ' ');
        TestConnection connection(m_server->port());
        connection.send(absl::StrCat("PUT ", target, " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ", token,
            "\r\nContent-Length: ", pieces * piece.size(), "\r\n\r\n"));
        for (int sent = 0; sent < pieces; ++sent) {
            EXPECT_EQ(m_server->heldBodyBytes(), 0U);
            connection.send(piece);
        }
        return connection.readAll();
    };
    const std::string unknownToken = refusalOf("/v1/jobs/k1", "wrong");
    EXPECT_TRUE(contains(unknownToken, "\"unauthenticated\""));
    EXPECT_TRUE(contains(unknownToken, "Connection: close"));
    EXPECT_TRUE(contains(refusalOf("/v2/jobs", "za"), "\"notFound\""));
    EXPECT_TRUE(contains(refusalOf("/v1/drains/d", "za"), "\"permissionDenied\""));
    EXPECT_EQ(m_sink.count(), 0U);
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
}

TEST_F(ApiServerTest, RefusesABodyWithoutRoomWithRetryAfter)
{
    // The budget is a quarter of it.
    m_settings.memoryBytes = 4096;
    startServer();
    const std::string response = sendRequest("PUT", "/v1/jobs/k1", "za", std::string(2000, ' '));
    EXPECT_TRUE(contains(response, "503"));
    EXPECT_TRUE(contains(response, "Retry-After: 1"));
    EXPECT_TRUE(contains(response, "\"notRun\""));
    EXPECT_EQ(m_server->limitCount(ClientLimit::BodyRefused), 1U);
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
    EXPECT_EQ(m_sink.count(), 0U);
}

TEST_F(ApiServerTest, ReleasesABodyWhoseClientDisconnects)
{
    startServer();
    auto connection = std::make_unique<TestConnection>(m_server->port());
    connection->send(requestText("PUT", "/v1/jobs/k1", "za", std::string(4096, ' ')).substr(0, 4000));
    connection.reset();
    m_server->stop(absl::Minutes(1));
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
}

// Guards against unfinished bodies that stay for as long as their client likes.
TEST_F(ApiServerTest, AbandonsABodyThatIsNotCompleteInTime)
{
    m_settings.watchHeartbeatPeriod = absl::Milliseconds(20);
    const AutoAdvancingClock clock;
    m_server = std::make_unique<ApiServer>(m_settings, m_sink, m_reports, clock);
    ASSERT_TRUE(m_server->start().ok());
    TestConnection connection(m_server->port());
    connection.send(requestText("PUT", "/v1/jobs/k1", "za", std::string(4096, ' ')).substr(0, 2000));
    EXPECT_EQ(connection.readAll(), "");
    EXPECT_EQ(m_server->limitCount(ClientLimit::BodyAbandoned), 1U);
    EXPECT_EQ(m_server->heldBodyBytes(), 0U);
}

TEST_F(ApiServerTest, RefusesConnectionsBeyondTheLimitOfAClient)
{
    m_settings.maxConnectionsPerClient = 1;
    startServer();
    TestConnection first(m_server->port());
    first.send(requestText("GET", "/v1/jobs/k1", "za"));
    const CallerEvent call = m_sink.awaitCall(1);
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/jobs/k2", "za"), "\"tooManyConnections\""));
    answerJob(call.caller, "served");
    EXPECT_TRUE(contains(first.readResponse(), "served"));
}

TEST_F(ApiServerTest, NotifiesTheNodeOfADisconnectedCaller)
{
    startServer();
    auto connection = std::make_unique<TestConnection>(m_server->port());
    connection->send(requestText("GET", "/v1/jobs/k1?waitMs=60000", "za"));
    const CallerEvent call = m_sink.awaitCall(1);
    connection.reset();
    EXPECT_EQ(std::get<CallerDisconnectedEvent>(m_sink.await(2)).caller, call.caller);
    answerJob(call.caller, "too late");
    EXPECT_TRUE(contains(sendRequest("GET", "/healthz", ""), "200 OK"));
}

TEST_F(ApiServerTest, StreamsAWatchAndNotifiesTheNodeOfItsEnd)
{
    startServer();
    auto connection = std::make_unique<TestConnection>(m_server->port());
    connection->send(requestText("GET", "/v1/drains?watch=7", "op"));
    const CallerEvent call = m_sink.awaitCall(1);
    EXPECT_EQ(std::get<WatchRequest>(call.request).afterRevision, 7);
    ChangeAnswer change;
    for (Revision revision = 8; revision < 11; ++revision) {
        change.revision = revision;
        m_server->answer(call.caller, change, false);
        EXPECT_TRUE(contains(connection->readUntil("}\n"), absl::StrCat("\"revision\":", revision)));
    }
    connection.reset();
    EXPECT_EQ(std::get<CallerDisconnectedEvent>(m_sink.await(2)).caller, call.caller);
}

TEST_F(ApiServerTest, SendsHeartbeatsOnAQuietWatch)
{
    m_settings.watchHeartbeatPeriod = absl::Milliseconds(20);
    startServer();
    TestConnection connection(m_server->port());
    connection.send(requestText("GET", "/v1/drains?watch=7", "op"));
    EXPECT_TRUE(contains(connection.readUntil("heartbeat"), "200 OK"));
    EXPECT_TRUE(contains(connection.readUntil("heartbeat"), "heartbeat"));
}

TEST_F(ApiServerTest, RefusesWatchesBeyondTheLimit)
{
    startServer();
    TestConnection first(m_server->port());
    TestConnection second(m_server->port());
    first.send(requestText("GET", "/v1/drains?watch=1", "op"));
    second.send(requestText("GET", "/v1/drains?watch=1", "op"));
    m_sink.await(2);
    EXPECT_TRUE(contains(sendRequest("GET", "/v1/drains?watch=1", "op"), "\"tooManyWatches\""));
}

TEST_F(ApiServerTest, AnswersAWatchThatHasExpiredWithAStatus)
{
    startServer();
    TestConnection connection(m_server->port());
    connection.send(requestText("GET", "/v1/drains?watch=1", "op"));
    m_server->answer(m_sink.awaitCall(1).caller, ErrorAnswer { ErrorKind::WatchExpired, "compacted", 0, 0 }, true);
    EXPECT_TRUE(contains(connection.readResponse(), "410"));
}

TEST_F(ApiServerTest, FinishesAnswersInFlightWhenStopped)
{
    startServer();
    TestConnection waiting(m_server->port());
    waiting.send(requestText("GET", "/v1/jobs/k1?waitMs=60000", "za"));
    const CallerEvent call = m_sink.awaitCall(1);
    TestConnection watching(m_server->port());
    watching.send(requestText("GET", "/v1/drains?watch=1", "op"));
    m_sink.await(2);
    std::thread stopper([this] { m_server->stop(absl::Minutes(1)); });
    // The watch ends first, with a complete response, while the other call still waits for its answer.
    EXPECT_TRUE(contains(watching.readUntil("0\r\n\r\n"), "200 OK"));
    answerJob(call.caller, "in time");
    EXPECT_TRUE(contains(waiting.readResponse(), "in time"));
    stopper.join();
}

TEST_F(ApiServerTest, AnswersWaitingCallersWithTimedOutWhenTheGraceIsOver)
{
    startServer();
    TestConnection waiting(m_server->port());
    waiting.send(requestText("GET", "/v1/jobs/k1?waitMs=60000", "za"));
    m_sink.await(1);
    m_server->stop(absl::ZeroDuration());
    const std::string response = waiting.readResponse();
    EXPECT_TRUE(contains(response, "\"timedOut\""));
    EXPECT_TRUE(contains(response, "\"unknown\""));
    EXPECT_TRUE(std::holds_alternative<CallerDisconnectedEvent>(m_sink.await(2)));
}

} // namespace
} // namespace mangohall
