#include "adapters/platform_worker/http_worker_port_base.h"

#include "adapters/platform_worker/worker_json_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

const WorkerName worker("w1");

// Completes every request at once with the response that the test has set.
class FakeHttpClient : public HttpClient {
public:
    void send(const HttpRequest& request, Done done) override
    {
        m_request = request;
        done(m_response);
    }

    void stream(const HttpRequest& /*request*/, Piece /*piece*/, Done done) override { done(m_response); }

    void setResponse(absl::StatusOr<HttpResponse> response) { m_response = std::move(response); }
    const HttpRequest& request() const { return m_request; }

private:
    HttpRequest m_request;
    absl::StatusOr<HttpResponse> m_response = HttpResponse();
};

absl::StatusOr<WorkerReport> callWith(FakeHttpClient& client)
{
    HttpWorkerPort port(client);
    absl::StatusOr<WorkerReport> result;
    int doneCount = 0;
    const WorkerCall call { { ShardName("s"), 1 }, absl::Seconds(30), Heartbeat() };
    port.call(worker, "10.0.0.1:80/w/w1", call, [&](absl::StatusOr<WorkerReport> report) {
        ++doneCount;
        result = std::move(report);
    });
    EXPECT_EQ(doneCount, 1);
    return result;
}

HttpResponse responseFrom(const WorkerName& name)
{
    HttpResponse response;
    response.status = 200;
    response.body = toJson(WorkerReport { name, "run-1", {}, false }).dump();
    return response;
}

TEST(HttpWorkerPort, PostsToTheWorkersAddress)
{
    FakeHttpClient client;
    client.setResponse(responseFrom(worker));
    EXPECT_EQ(callWith(client)->incarnation, "run-1");
    EXPECT_EQ(client.request().method, "POST");
    EXPECT_EQ(client.request().url, "http://10.0.0.1:80/w/w1/v1/calls");
    EXPECT_EQ(client.request().timeout, workerCallTimeout);
}

TEST(HttpWorkerPort, ReportsAFailedExchange)
{
    FakeHttpClient client;
    client.setResponse(makeError(ErrorKind::TimedOut, "late"));
    EXPECT_EQ(errorKindOf(callWith(client).status()), ErrorKind::TimedOut);
}

TEST(HttpWorkerPort, RejectsOtherHttpStatuses)
{
    FakeHttpClient client;
    HttpResponse response = responseFrom(worker);
    response.status = 503;
    client.setResponse(response);
    EXPECT_EQ(errorKindOf(callWith(client).status()), ErrorKind::Internal);
}

TEST(HttpWorkerPort, RejectsAMalformedReportAndOneOfAnotherWorker)
{
    FakeHttpClient client;
    HttpResponse broken = responseFrom(worker);
    broken.body.pop_back();
    client.setResponse(broken);
    EXPECT_EQ(errorKindOf(callWith(client).status()), ErrorKind::MalformedBody);
    client.setResponse(responseFrom(WorkerName("w2")));
    EXPECT_EQ(errorKindOf(callWith(client).status()), ErrorKind::MalformedBody);
}

} // namespace
} // namespace mangohall
