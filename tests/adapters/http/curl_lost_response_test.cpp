// Requests whose connection is closed without a response: they may have been executed.
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_dropping_server_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

class CurlLostResponse : public testing::Test {
protected:
    absl::StatusOr<HttpResponse> send(const std::string& method, const std::string& body)
    {
        HttpRequest request;
        request.method = method;
        request.url = absl::StrCat("http://", m_server.address(), "/");
        request.body = body;
        request.timeout = absl::Seconds(60);
        ResponseWaiter waiter;
        m_client.send(request, waiter.done());
        return waiter.wait();
    }

    ResponseDroppingServer m_server;
    RealClock m_clock;
    CurlHttpClient m_client { m_clock, {} };
};

// Guards against a refusal of what was executed: the library repeated the request by itself on a new connection, and
// the response to the repetition passed for that of the only sending.
TEST_F(CurlLostResponse, SendsARequestOnlyOnce)
{
    ASSERT_TRUE(send("POST", "{}").ok());
    EXPECT_EQ(errorKindOf(send("POST", "{}").status()), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(m_server.requestCount(), 2);
    EXPECT_EQ(send("POST", "{}")->status, 503);
}

TEST_F(CurlLostResponse, SendsARequestWithoutABodyOnlyOnce)
{
    ASSERT_TRUE(send("POST", "").ok());
    EXPECT_EQ(errorKindOf(send("DELETE", "").status()), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(m_server.requestCount(), 2);
}

// Reading changes nothing, so a read may be sent again.
TEST_F(CurlLostResponse, RepeatsARead)
{
    ASSERT_TRUE(send("POST", "{}").ok());
    EXPECT_EQ(send("GET", "")->status, 503);
    EXPECT_EQ(m_server.requestCount(), 3);
}

} // namespace
} // namespace mangohall
