// Calls to hosts whose names have to be looked up. The program has its own getaddrinfo, which takes the place of the
// system's in the HTTP library.
#include <netdb.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/holding_handler_base.h"
#include "adapters/http/response_waiter_base.h"
#include "core/error_func.h"
#include "standins/http_server_base.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// The longest time for which a lookup is held.
constexpr absl::Duration longestLookup = absl::Seconds(10);

absl::Notification lookupReleased;
absl::Notification lookupEnded;

} // namespace

// Holds the lookup until the test releases it, then finds no host.
extern "C" int getaddrinfo(
    const char* /*name*/, const char* /*service*/, const addrinfo* /*hints*/, addrinfo** /*result*/)
{
    lookupReleased.WaitForNotificationWithTimeout(longestLookup);
    lookupEnded.Notify();
    return EAI_AGAIN;
}

namespace {

HttpRequest requestTo(absl::string_view host, absl::Duration timeout)
{
    HttpRequest request;
    request.url = absl::StrCat("http://", host, "/hold");
    request.timeout = timeout;
    return request;
}

// Guards against a client that serves nothing while a name is looked up for a call that has already timed out: an owner
// of the jobs could not renew its lease meanwhile.
TEST(CurlNameLookup, DoesNotHoldUpOtherCallsAfterATimeout)
{
    HoldingHandler handler;
    HttpServer server(handler);
    ASSERT_TRUE(server.start("127.0.0.1", 0).ok());
    const RealClock clock;
    CurlHttpClient client(clock, {});
    ResponseWaiter lookedUp;
    client.send(requestTo("worker.example:80", absl::Milliseconds(50)), lookedUp.done());
    ResponseWaiter other;
    client.send(requestTo(absl::StrCat("127.0.0.1:", server.port()), absl::Seconds(60)), other.done());
    const std::shared_ptr<Exchange> held = handler.take();
    EXPECT_EQ(errorKindOf(lookedUp.wait().status()), ErrorKind::TimedOut);
    held->answer(HttpResponse { 200, {}, "" });
    EXPECT_TRUE(other.wait().ok());
    EXPECT_FALSE(lookupEnded.HasBeenNotified());
    lookupReleased.Notify();
    lookupEnded.WaitForNotification();
}

} // namespace
} // namespace mangohall
