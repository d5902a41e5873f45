// Runs complete nodes, with their HTTP servers and clients, against the simulated platform over loopback.
#include <thread>

#include "platform/node_loopback_base.h"

namespace mangohall::platform {
namespace {

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
    EXPECT_EQ(call(0, "POST", "/urgent/00000000000000b1", std::string(300000, ' ')).status, 413);
    HttpRequest metrics;
    metrics.url = absl::StrCat("http://", addressOf(0, 2), "/metrics");
    const std::string text = send(metrics).body;
    EXPECT_NE(text.find("mangohall_decisions{kind=\"refused\",outcome=\"noSuchJob\"} 1"), std::string::npos);
    EXPECT_NE(text.find("mangohall_caller_bodies_not_served{outcome=\"tooLarge\"} 1"), std::string::npos);
    EXPECT_NE(text.find("mangohall_caller_body_bytes_held 0"), std::string::npos);
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
