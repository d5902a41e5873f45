// Runs complete nodes, with their HTTP servers and clients, against the simulated platform over loopback.
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_waiter_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "platform/platform_node_base.h"
#include "platform/platform_standin_base.h"
#include "gtest/gtest.h"

namespace mangohall::platform {
namespace {

// No other test uses the ports from here to firstPort + 12.
constexpr int firstPort = 18700;

class NodeLoopback : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_platform.start(0, 4).ok());
        m_platform.setRunTime("short", absl::Milliseconds(100));
        for (int node = 0; node < 2; ++node)
            startNode(node);
        for (int node = 0; node < 2; ++node)
            waitUntil([this, node] { return m_nodes[static_cast<std::size_t>(node)]->isReady(); });
    }

    void TearDown() override
    {
        for (const std::unique_ptr<PlatformNode>& node : m_nodes)
            node->stop();
    }

    void startNode(int node)
    {
        PlatformNodeSettings settings;
        settings.node = NodeName(absl::StrCat("node-", node));
        settings.callerAddress = addressOf(node, 0);
        settings.readinessAddress = addressOf(node, 1);
        settings.metricsAddress = addressOf(node, 2);
        settings.storeAddress = absl::StrCat("127.0.0.1:", m_platform.storePort());
        settings.stopGrace = absl::Milliseconds(4300);
        m_nodes.push_back(std::make_unique<PlatformNode>(settings));
        ASSERT_TRUE(m_nodes.back()->start().ok());
    }

    static std::string addressOf(int node, int server)
    {
        return absl::StrCat("127.0.0.1:", firstPort + node * 10 + server);
    }

    HttpResponse call(int node, const std::string& method, const std::string& path, const std::string& body = "")
    {
        HttpRequest request;
        request.method = method;
        request.url = absl::StrCat("http://", addressOf(node, 0), path);
        request.headers = { { "Host", "desk.example" }, { "Authorization", "Bearer key-large" } };
        request.body = body;
        request.timeout = absl::Seconds(5);
        return send(request);
    }

    HttpResponse send(const HttpRequest& request)
    {
        ResponseWaiter waiter;
        m_client.send(request, waiter.done());
        const absl::StatusOr<HttpResponse> response = waiter.wait();
        EXPECT_TRUE(response.ok()) << response.status();
        return response.ok() ? *response : HttpResponse();
    }

    template <typename Condition> void waitUntil(Condition condition)
    {
        for (int tries = 0; tries < 500 && !condition(); ++tries)
            absl::SleepFor(absl::Milliseconds(20));
        EXPECT_TRUE(condition());
    }

    SystemClock m_clock;
    PlatformStandin m_platform;
    std::vector<std::unique_ptr<PlatformNode>> m_nodes;
    CurlHttpClient m_client { m_clock, CurlHttpClientOptions() };
};

TEST_F(NodeLoopback, RunsAJobToItsEnd)
{
    const std::string path = "/urgent/00000000000000a1";
    const std::string body
        = R"({"spec":"short","phases":[{"count":3,"cpu":1000,"memMb":10,"gpu":2,"estimateMs":100}]})";
    EXPECT_EQ(call(0, "POST", path, body).status, 200);
    // A second submission of the same job, at another node, does not create a second job.
    EXPECT_EQ(call(1, "POST", path, body).status, 200);
    waitUntil([&] { return call(1, "GET", path).body == R"({"state":"completed"})"; });
    EXPECT_EQ(m_platform.startCount("00000000000000a1"), 3);
    EXPECT_TRUE(m_platform.ruleViolations().empty());
}

TEST_F(NodeLoopback, AnswersInvalidRequestsWithHttpErrors)
{
    EXPECT_EQ(call(0, "GET", "/urgent/00000000000000b1").status, 410);
    EXPECT_EQ(call(0, "DELETE", "/urgent/00000000000000b2").status, 410);
    EXPECT_EQ(call(0, "GET", "/nowhere/").status, 404);
    EXPECT_EQ(call(0, "POST", "/urgent/00000000000000b3", "no JSON").status, 400);
    EXPECT_EQ(call(0, "PUT", "/urgent/00000000000000b3").status, 405);
    EXPECT_EQ(call(0, "POST", "/urgent/00000000000000b4", std::string(300000, ' ')).status, 413);
    EXPECT_EQ(call(0, "GET", "/batch/").body, R"({"queuedJobs":0})");
    HttpRequest unauthenticated;
    unauthenticated.url = absl::StrCat("http://", addressOf(0, 0), "/urgent/00000000000000b1");
    unauthenticated.headers = { { "Host", "desk.example" }, { "Authorization", "Bearer nobody" } };
    EXPECT_EQ(send(unauthenticated).status, 401);
}

TEST_F(NodeLoopback, ServesReadinessAndMetrics)
{
    HttpRequest readiness;
    readiness.url = absl::StrCat("http://", addressOf(0, 1), "/v1/readyz");
    EXPECT_EQ(send(readiness).status, 200);
    call(0, "GET", "/urgent/00000000000000b1");
    HttpRequest metrics;
    metrics.url = absl::StrCat("http://", addressOf(0, 2), "/metrics");
    EXPECT_NE(
        send(metrics).body.find("mangohall_decisions{kind=\"refused\",outcome=\"noSuchJob\"} 1"), std::string::npos);
}

TEST_F(NodeLoopback, ServesOpenConnectionsAndHandsJobsOverDuringStop)
{
    const std::string body = R"({"spec":"short","phases":[{"count":2,"cpu":1000,"gpu":2}]})";
    std::thread stopper([this] { m_nodes[0]->stop(); });
    waitUntil([this] { return !m_nodes[0]->isReady(); });
    EXPECT_EQ(call(0, "POST", "/batch/00000000000000c1", body).status, 200);
    waitUntil([&] { return call(1, "GET", "/batch/00000000000000c1").body == R"({"state":"completed"})"; });
    stopper.join();
}

} // namespace
} // namespace mangohall::platform
