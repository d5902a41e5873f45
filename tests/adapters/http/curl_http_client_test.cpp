#include "adapters/http/curl_http_client_base.h"

#include <algorithm>
#include <ctime>
#include <sched.h>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "adapters/http/holding_handler_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/faulty_handler_base.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration shortTimeout = absl::Milliseconds(200);

HttpResponse textResponse(absl::string_view text)
{
    HttpResponse response;
    response.status = 200;
    response.body = std::string(text);
    return response;
}

class CurlHttpClientTest : public testing::Test {
protected:
    CurlHttpClientTest()
        : m_faulty(m_handler, m_switches)
        , m_server(m_faulty)
    {
    }

    void SetUp() override { ASSERT_TRUE(m_server.start(m_address, 0).ok()); }

    HttpRequest makeRequest(absl::string_view path, absl::string_view body) const
    {
        HttpRequest request;
        request.method = "POST";
        request.url = absl::StrCat("http://127.0.0.1:", m_server.port(), path);
        request.body = std::string(body);
        request.timeout = absl::Seconds(60);
        return request;
    }

    absl::StatusOr<HttpResponse> call(HttpClient& client, const HttpRequest& request)
    {
        ResponseWaiter waiter;
        client.send(request, waiter.done());
        return waiter.wait();
    }

    // Processor times of the threads of two clients for the same number of consecutive calls. Both threads stay on one
    // processor, since the same work takes longer on one whose neighbours are busy. The clients are measured in turn,
    // and each time is the minimum of several tries, since other processes on the machine increase it.
    std::pair<absl::Duration, absl::Duration> processorTimesOfCalls(HttpClient& first, HttpClient& second)
    {
        constexpr int tryCount = 9;
        const int processor = sched_getcpu();
        keepOnProcessor(first, processor);
        keepOnProcessor(second, processor);
        std::pair<absl::Duration, absl::Duration> least { absl::InfiniteDuration(), absl::InfiniteDuration() };
        for (int count = 0; count < tryCount; ++count) {
            least.first = std::min(least.first, processorTimeOfCalls(first));
            least.second = std::min(least.second, processorTimeOfCalls(second));
        }
        return least;
    }

    // Makes one call whose callback ties the client's thread to a processor.
    void keepOnProcessor(HttpClient& client, int processor)
    {
        ResponseWaiter waiter;
        client.send(
            makeRequest("/echo", ""), [processor, done = waiter.done()](const absl::StatusOr<HttpResponse>& response) {
                cpu_set_t processors;
                CPU_ZERO(&processors);
                CPU_SET(processor, &processors);
                EXPECT_EQ(sched_setaffinity(0, sizeof(processors), &processors), 0);
                done(response);
            });
        EXPECT_TRUE(waiter.wait().ok());
    }

    // Processor time of the client's thread for a number of consecutive calls.
    absl::Duration processorTimeOfCalls(HttpClient& client)
    {
        constexpr int callCount = 100;
        const absl::Duration begin = clientTimeAfterCall(client);
        absl::Duration end = begin;
        for (int calls = 0; calls < callCount; ++calls)
            end = clientTimeAfterCall(client);
        return end - begin;
    }

    // Makes one call and returns the processor time that the client's thread has used so far.
    absl::Duration clientTimeAfterCall(HttpClient& client)
    {
        ResponseWaiter waiter;
        absl::Duration taken;
        client.send(
            makeRequest("/echo", ""), [&taken, done = waiter.done()](const absl::StatusOr<HttpResponse>& response) {
                timespec time {};
                clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
                taken = absl::DurationFromTimespec(time);
                done(response);
            });
        EXPECT_TRUE(waiter.wait().ok());
        return taken;
    }

    // Opens two connections to the server and leaves them idle.
    void openTwoConnections(HttpClient& client)
    {
        ResponseWaiter first;
        ResponseWaiter second;
        client.send(makeRequest("/hold", ""), first.done());
        client.send(makeRequest("/hold", ""), second.done());
        const std::shared_ptr<Exchange> firstHeld = m_handler.take();
        const std::shared_ptr<Exchange> secondHeld = m_handler.take();
        firstHeld->answer(textResponse(""));
        secondHeld->answer(textResponse(""));
        ASSERT_TRUE(first.wait().ok());
        ASSERT_TRUE(second.wait().ok());
    }

    // Makes the server stop answering on its first `count` connections; connections are numbered from 1.
    void silenceFirstConnections(std::uint64_t count)
    {
        ASSERT_TRUE(m_switches.set({ { "silenceOpenConnections", true } }, count).ok());
    }

    std::string m_address = "127.0.0.1";
    RealClock m_clock;
    FaultSwitches m_switches;
    HoldingHandler m_handler;
    FaultyHandler m_faulty;
    HttpServer m_server;
};

// The server listens on every address of the machine, so that each loopback address is another host.
class CurlManyHostsTest : public CurlHttpClientTest {
protected:
    CurlManyHostsTest() { m_address = "0.0.0.0"; }

    // Returns a request to the loopback address with this number.
    HttpRequest requestTo(int host, absl::string_view path) const
    {
        constexpr int hostsPerNet = 200;
        HttpRequest request = makeRequest(path, "");
        request.url = absl::StrCat(
            "http://127.0.", 1 + host / hostsPerNet, ".", 1 + host % hostsPerNet, ":", m_server.port(), path);
        return request;
    }
};

TEST_F(CurlHttpClientTest, ReturnsTheWholeResponse)
{
    CurlHttpClient client(m_clock, {});
    const std::string body(300'000, 'x');
    const absl::StatusOr<HttpResponse> response = call(client, makeRequest("/echo", body));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, body);
}

TEST_F(CurlHttpClientTest, UsesAConnectionAgain)
{
    CurlHttpClient client(m_clock, {});
    for (int count = 0; count < 5; ++count)
        ASSERT_TRUE(call(client, makeRequest("/echo", "")).ok());
    EXPECT_EQ(m_handler.connectionCount(), 1U);
}

// The usual end of an idle connection: the server closes it, and the next request needs a new one.
TEST_F(CurlHttpClientTest, SendsOnANewConnectionAfterTheServerHasClosedTheIdleOne)
{
    CurlHttpClient client(m_clock, {});
    auto closing = std::make_unique<HttpServer>(m_faulty);
    ASSERT_TRUE(closing->start(m_address, 0).ok());
    const std::uint16_t port = closing->port();
    HttpRequest request = makeRequest("/echo", "first");
    request.url = absl::StrCat("http://127.0.0.1:", port, "/echo");
    ASSERT_TRUE(call(client, request).ok());
    closing.reset();
    HttpServer next(m_faulty);
    ASSERT_TRUE(next.start(m_address, port).ok());
    request.body = "second";
    const absl::StatusOr<HttpResponse> response = call(client, request);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "second");
}

// Load of a large site: an owner calls several hundred workers in turn. Guards against a limit of idle connections
// below the number of hosts, which would make each call open a new connection.
TEST_F(CurlManyHostsTest, KeepsAConnectionToEach)
{
    constexpr int hostCount = 350;
    constexpr int rounds = 3;
    CurlHttpClient client(m_clock, {});
    for (int round = 0; round < rounds; ++round) {
        for (int host = 0; host < hostCount; ++host)
            ASSERT_TRUE(call(client, requestTo(host, "/echo")).ok());
    }
    EXPECT_EQ(m_handler.connectionCount(), static_cast<std::size_t>(hostCount));
}

// Load of a large site: status polls wait at hundreds of workers while starts and stops go on. Guards against a cost
// for each call that grows with the number of waiting calls.
TEST_F(CurlManyHostsTest, TakesNoLongerBesideCallsThatWait)
{
    constexpr int waitingCount = 300;
    // The work for each call is the same with and without waiting calls; the margin allows for timing noise of the
    // machine.
    constexpr double maxRatio = 3;
    CurlHttpClient idleClient(m_clock, {});
    CurlHttpClient client(m_clock, {});
    std::vector<ResponseWaiter> waiters(waitingCount);
    std::vector<std::shared_ptr<Exchange>> held;
    for (int host = 0; host < waitingCount; ++host) {
        client.send(requestTo(host, "/hold"), waiters[static_cast<std::size_t>(host)].done());
        held.push_back(m_handler.take());
    }
    const auto [alone, beside] = processorTimesOfCalls(idleClient, client);
    EXPECT_LT(beside, alone * maxRatio);
    for (const std::shared_ptr<Exchange>& exchange : held)
        exchange->answer(textResponse(""));
    for (ResponseWaiter& waiter : waiters)
        EXPECT_TRUE(waiter.wait().ok());
}

// Load of a large site: an owner has a connection to each of many workers. Guards against a cost for each call
// that grows with the number of hosts: the library examines all connections of a cache at the end of each transfer.
TEST_F(CurlManyHostsTest, TakesNoLongerBesideConnectionsToManyHosts)
{
    // So many that the ratio is 3 to 7 with one cache for all hosts; with 900 it is less than 2.
    constexpr int hostCount = 3600;
    constexpr double maxRatio = 2;
    CurlHttpClientOptions options;
    options.idleConnections = 4500;
    CurlHttpClient idleClient(m_clock, options);
    CurlHttpClient client(m_clock, options);
    for (int host = 0; host < hostCount; ++host)
        ASSERT_TRUE(call(client, requestTo(host, "/echo")).ok());
    const auto [alone, beside] = processorTimesOfCalls(idleClient, client);
    EXPECT_LT(beside, alone * maxRatio);
}

// Guards against a process that was suspended or overloaded and acts on what it had decided before: a request that the
// client's thread gets to after the deadline has passed is not sent.
TEST_F(CurlHttpClientTest, DoesNotSendARequestAfterItsDeadline)
{
    CurlHttpClient client(m_clock, {});
    absl::Notification isSuspended;
    absl::Notification isResumed;
    client.send(makeRequest("/echo", ""), [&](const absl::StatusOr<HttpResponse>& /*response*/) {
        isSuspended.Notify();
        isResumed.WaitForNotification();
    });
    isSuspended.WaitForNotification();
    HttpRequest request = makeRequest("/echo", "");
    request.timeout = shortTimeout;
    ResponseWaiter late;
    client.send(request, late.done());
    absl::SleepFor(shortTimeout);
    isResumed.Notify();
    EXPECT_EQ(errorKindOf(late.wait().status()), ErrorKind::TimedOut);
    EXPECT_TRUE(call(client, makeRequest("/echo", "")).ok());
    EXPECT_EQ(m_handler.requestCount(), 2U);
}

// Guards against a process that was suspended and acts on a permission that has run out meanwhile.
TEST_F(CurlHttpClientTest, DoesNotSendARequestAfterTheTimeThatItNames)
{
    CurlHttpClient client(m_clock, {});
    HttpRequest request = makeRequest("/echo", "");
    request.sendUntil = m_clock.now();
    EXPECT_EQ(errorKindOf(call(client, request).status()), ErrorKind::TimedOut);
    EXPECT_EQ(m_handler.requestCount(), 0U);
    request.sendUntil = m_clock.now() + absl::Seconds(60);
    EXPECT_TRUE(call(client, request).ok());
}

TEST_F(CurlHttpClientTest, KeepsToItsConnectionsPerHost)
{
    CurlHttpClientOptions options;
    options.connectionsPerHost = 2;
    CurlHttpClient client(m_clock, options);
    ResponseWaiter waiters[6];
    for (ResponseWaiter& waiter : waiters)
        client.send(makeRequest("/hold", ""), waiter.done());
    for (std::size_t count = 0; count < std::size(waiters); ++count)
        m_handler.take()->answer(textResponse(""));
    for (ResponseWaiter& waiter : waiters)
        EXPECT_TRUE(waiter.wait().ok());
    EXPECT_EQ(m_handler.connectionCount(), 2U);
}

TEST_F(CurlHttpClientTest, CountsTheWaitForAConnectionInTheTimeout)
{
    CurlHttpClientOptions options;
    options.connectionsPerHost = 1;
    CurlHttpClient client(m_clock, options);
    ResponseWaiter first;
    client.send(makeRequest("/hold", ""), first.done());
    const std::shared_ptr<Exchange> held = m_handler.take();
    HttpRequest request = makeRequest("/echo", "");
    request.timeout = shortTimeout;
    EXPECT_EQ(errorKindOf(call(client, request).status()), ErrorKind::TimedOut);
    held->answer(textResponse("late"));
    EXPECT_EQ(first.wait()->body, "late");
}

// Guards against work that waits for the outcome of a request that never left.
// Guards against LOST: an owner that was late to read a worker's reply took the worker for silent.
TEST_F(CurlHttpClientTest, ReadsAResponseThatArrivedInTimeAlsoIfItIsLateToDoSo)
{
    CurlHttpClient client(m_clock, CurlHttpClientOptions());
    ResponseWaiter held;
    HttpRequest request = makeRequest("/hold", "");
    request.timeout = shortTimeout;
    client.send(request, held.done());
    const std::shared_ptr<Exchange> exchange = m_handler.take();
    ResponseWaiter echoed;
    absl::Notification isBusy;
    client.send(
        makeRequest("/echo", ""), [&isBusy, done = echoed.done()](const absl::StatusOr<HttpResponse>& response) {
            isBusy.Notify();
            absl::SleepFor(2 * shortTimeout);
            done(response);
        });
    isBusy.WaitForNotification();
    exchange->answer(textResponse("in time"));
    const absl::StatusOr<HttpResponse> response = held.wait();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "in time");
    EXPECT_TRUE(echoed.wait().ok());
}

TEST_F(CurlHttpClientTest, TellsWhetherAFailedRequestWasSent)
{
    CurlHttpClientOptions options;
    options.connectionsPerHost = 1;
    CurlHttpClient client(m_clock, options);
    HttpRequest request = makeRequest("/echo", "");
    request.sendUntil = m_clock.now();
    EXPECT_TRUE(isNotSent(call(client, request).status()));
    ResponseWaiter first;
    client.send(makeRequest("/hold", ""), first.done());
    const std::shared_ptr<Exchange> held = m_handler.take();
    request = makeRequest("/hold", "");
    request.timeout = shortTimeout;
    EXPECT_TRUE(isNotSent(call(client, request).status()));
    held->answer(textResponse(""));
    EXPECT_TRUE(first.wait().ok());
    EXPECT_FALSE(isNotSent(call(client, request).status()));
    m_handler.take();
}

TEST_F(CurlHttpClientTest, LeavesAllIdleConnectionsAfterATimeout)
{
    CurlHttpClient client(m_clock, {});
    openTwoConnections(client);
    silenceFirstConnections(2);
    HttpRequest request = makeRequest("/echo", "");
    request.timeout = shortTimeout;
    EXPECT_EQ(errorKindOf(call(client, request).status()), ErrorKind::TimedOut);
    const absl::StatusOr<HttpResponse> response = call(client, makeRequest("/echo", "new"));
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "new");
}

TEST_F(CurlHttpClientTest, LeavesConnectionsInUseAloneAfterATimeout)
{
    CurlHttpClient client(m_clock, {});
    ResponseWaiter busy;
    client.send(makeRequest("/hold", ""), busy.done());
    const std::shared_ptr<Exchange> busyHeld = m_handler.take();
    HttpRequest request = makeRequest("/hold", "");
    request.timeout = shortTimeout;
    EXPECT_EQ(errorKindOf(call(client, request).status()), ErrorKind::TimedOut);
    busyHeld->answer(textResponse("whole"));
    const absl::StatusOr<HttpResponse> response = busy.wait();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "whole");
}

TEST_F(CurlHttpClientTest, ReportsADroppedResponseAsOutcomeUnknown)
{
    CurlHttpClient client(m_clock, {});
    ResponseWaiter waiter;
    client.send(makeRequest("/hold", ""), waiter.done());
    m_handler.take()->drop();
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::OutcomeUnknown);
}

TEST_F(CurlHttpClientTest, StreamsPieceByPiece)
{
    CurlHttpClient client(m_clock, {});
    ResponseWaiter waiter;
    client.stream(makeRequest("/hold", ""), waiter.piece(), waiter.done());
    const std::shared_ptr<Exchange> held = m_handler.take();
    held->begin();
    EXPECT_TRUE(held->write("one"));
    waiter.waitForText("one");
    EXPECT_TRUE(held->write("two"));
    waiter.waitForText("onetwo");
    held->end();
    EXPECT_TRUE(waiter.wait().ok());
}

TEST_F(CurlHttpClientTest, ClosesAStreamWhenItsReceiverAsksToClose)
{
    CurlHttpClient client(m_clock, {});
    ResponseWaiter waiter;
    waiter.closeAfter(3);
    client.stream(makeRequest("/hold", ""), waiter.piece(), waiter.done());
    const std::shared_ptr<Exchange> held = m_handler.take();
    held->begin();
    held->write("one");
    EXPECT_TRUE(waiter.wait().ok());
}

TEST_F(CurlHttpClientTest, EndsAStreamThatHasGoneSilent)
{
    CurlHttpClient client(m_clock, {});
    ResponseWaiter waiter;
    HttpRequest request = makeRequest("/hold", "");
    request.timeout = shortTimeout;
    client.stream(request, waiter.piece(), waiter.done());
    const std::shared_ptr<Exchange> held = m_handler.take();
    held->begin();
    held->write("one");
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::TimedOut);
}

TEST_F(CurlHttpClientTest, EndsOpenRequestsWhenDestroyed)
{
    ResponseWaiter waiter;
    {
        CurlHttpClient client(m_clock, {});
        client.send(makeRequest("/hold", ""), waiter.done());
        m_handler.take();
    }
    EXPECT_EQ(errorKindOf(waiter.wait().status()), ErrorKind::OutcomeUnknown);
}

TEST_F(CurlHttpClientTest, HoldsRequestsWhileTheServerIsFrozen)
{
    CurlHttpClient client(m_clock, {});
    ASSERT_TRUE(call(client, makeRequest("/admin/faults", R"({"freeze":true})")).ok());
    ResponseWaiter waiter;
    client.send(makeRequest("/echo", "thawed"), waiter.done());
    ASSERT_TRUE(call(client, makeRequest("/admin/faults", R"({"freeze":false})")).ok());
    EXPECT_EQ(waiter.wait()->body, "thawed");
}

TEST_F(CurlHttpClientTest, IsRefusedForAnUnknownFault)
{
    CurlHttpClient client(m_clock, {});
    EXPECT_EQ(call(client, makeRequest("/admin/faults", R"({"freze":true})"))->status, 400);
}

} // namespace
} // namespace mangohall
