// The fixture of tests that run complete nodes, with their HTTP servers and clients, against the simulated platform
// over loopback.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_waiter_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "platform/platform_node_base.h"
#include "platform/platform_standin_base.h"
#include "gtest/gtest.h"

namespace mangohall::platform {

// No other test uses the ports from here to firstLoopbackPort + 12.
inline constexpr int firstLoopbackPort = 18700;

// Two nodes and the simulated platform with four workers.
class NodeLoopback : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_platform.start(0, 4).ok());
        m_platform.setRunTime("short", absl::Milliseconds(100));
        prepareStore();
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

    // Writes to the store before the nodes start; nothing by default.
    virtual void prepareStore() { }

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
        return absl::StrCat("127.0.0.1:", firstLoopbackPort + node * 10 + server);
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

} // namespace mangohall::platform
