// Tests simulated workers over real loopback connections, called through the same HTTP client as in the product.
#include "standins/worker/worker_building_base.h"

#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/platform_worker/http_worker_port_base.h"
#include "standins/real_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

const TaskId task { { OrganisationName("zagara"), "key" }, 1, 0 };

// Passes one result from another thread to a waiting one.
template <typename Result> class Waiter {
public:
    void set(Result result)
    {
        const absl::MutexLock lock(&m_mutex);
        m_result = std::move(result);
        m_isSet = true;
    }

    Result wait()
    {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(&m_isSet));
        return m_result;
    }

private:
    absl::Mutex m_mutex;
    bool m_isSet ABSL_GUARDED_BY(m_mutex) = false;
    Result m_result ABSL_GUARDED_BY(m_mutex);
};

class WorkerBuildingTest : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(m_server.start("127.0.0.1", 0).ok()); }
    void TearDown() override { m_server.stop(); }

    absl::StatusOr<WorkerReport> call(absl::string_view name, WorkerCommand command, absl::Duration timeout)
    {
        HttpWorkerPort port(m_client, timeout);
        Waiter<absl::StatusOr<WorkerReport>> waiter;
        const std::string address = absl::StrCat("127.0.0.1:", m_server.port(), "/w/", name);
        const WorkerCall request { { ShardName("s"), 1 }, absl::Minutes(10), std::move(command) };
        port.call(WorkerName(name), address, request,
            [&](absl::StatusOr<WorkerReport> report) { waiter.set(std::move(report)); });
        return waiter.wait();
    }

    absl::StatusOr<WorkerReport> call(absl::string_view name, WorkerCommand command)
    {
        return call(name, std::move(command), absl::Minutes(1));
    }

    HttpResponse admin(absl::string_view method, absl::string_view path, absl::string_view body)
    {
        HttpRequest request;
        request.method = std::string(method);
        request.url = absl::StrCat("http://127.0.0.1:", m_server.port(), "/admin/", path);
        request.body = std::string(body);
        request.timeout = absl::Minutes(1);
        Waiter<absl::StatusOr<HttpResponse>> waiter;
        m_client.send(request, [&](absl::StatusOr<HttpResponse> response) { waiter.set(std::move(response)); });
        const absl::StatusOr<HttpResponse> response = waiter.wait();
        EXPECT_TRUE(response.ok()) << response.status();
        return response.ok() ? *response : HttpResponse();
    }

    void setFaults(absl::string_view worker, absl::string_view faults)
    {
        EXPECT_EQ(admin("POST", absl::StrCat("faults?worker=", worker), faults).status, 200);
    }

    std::size_t executionCount() { return parseJson(admin("GET", "executions", "").body)->at("executions").size(); }

    StartTask startOn(absl::string_view worker, absl::string_view payload)
    {
        StartTask start;
        start.task = task;
        start.incarnation = call(worker, Heartbeat())->incarnation;
        start.payload = std::string(payload);
        return start;
    }

    RealClock m_clock;
    CurlHttpClient m_client { m_clock, CurlHttpClientOptions() };
    WorkerBuilding m_building { numberedWorkers("w", 2), "run", m_clock, WorkerTiming() };
    HttpServer m_server { m_building };
};

TEST_F(WorkerBuildingTest, TellsWorkersApartByTheirPath)
{
    const auto started = call("w-0", startOn("w-0", R"({"runMs":600000})"));
    ASSERT_TRUE(started.ok()) << started.status();
    EXPECT_EQ(started->tasks.at(0).state, TaskState::Running);
    EXPECT_EQ(call("w-0", Heartbeat())->tasks.size(), 1U);
    EXPECT_TRUE(call("w-1", Heartbeat())->tasks.empty());
    EXPECT_FALSE(call("w-2", Heartbeat()).ok());
    EXPECT_EQ(executionCount(), 1U);
}

TEST_F(WorkerBuildingTest, AnswersWithTheEcho)
{
    EXPECT_EQ(call("w-0", startOn("w-0", R"({"echo":"mine"})"))->tasks.at(0).result, "mine");
}

TEST_F(WorkerBuildingTest, DropsTheAnswerAfterTheEffect)
{
    const StartTask start = startOn("w-0", R"({"runMs":600000})");
    setFaults("w-0", R"({"dropAnswerAfterWrite":true})");
    EXPECT_FALSE(call("w-0", start).ok());
    EXPECT_TRUE(call("w-1", Heartbeat()).ok());
    setFaults("w-0", R"({"dropAnswerAfterWrite":false})");
    EXPECT_EQ(call("w-0", start)->tasks.at(0).state, TaskState::Running);
    EXPECT_EQ(executionCount(), 1U);
}

TEST_F(WorkerBuildingTest, RefusesWithoutEffect)
{
    const StartTask start = startOn("w-0", "{}");
    setFaults("w-0", R"({"refuse":true})");
    EXPECT_FALSE(call("w-0", start).ok());
    EXPECT_EQ(executionCount(), 0U);
}

TEST_F(WorkerBuildingTest, FreezesUntilItIsThawed)
{
    const StartTask start = startOn("w-0", R"({"runMs":600000})");
    setFaults("w-0", R"({"freeze":true})");
    EXPECT_FALSE(call("w-0", start, absl::Milliseconds(50)).ok());
    EXPECT_EQ(executionCount(), 0U);
    setFaults("w-0", R"({"freeze":false})");
    // The request that was received while frozen takes effect now, but a later request may overtake it.
    while (call("w-0", Heartbeat())->tasks.empty()) { }
    EXPECT_EQ(executionCount(), 1U);
}

TEST_F(WorkerBuildingTest, SilencesOpenConnectionsOnly)
{
    EXPECT_TRUE(call("w-0", Heartbeat()).ok());
    setFaults("w-0", R"({"silenceOpenConnections":true})");
    EXPECT_FALSE(call("w-0", Heartbeat(), absl::Milliseconds(50)).ok());
    EXPECT_TRUE(call("w-0", Heartbeat()).ok());
}

TEST_F(WorkerBuildingTest, RestartsAndFailsEveryTask)
{
    const StartTask start = startOn("w-0", "{}");
    setFaults("w-0", R"({"restart":true,"failEveryTask":true})");
    const auto refused = call("w-0", start);
    EXPECT_NE(refused->incarnation, start.incarnation);
    EXPECT_TRUE(refused->tasks.empty());
    EXPECT_EQ(call("w-0", startOn("w-0", "{}"))->tasks.at(0).state, TaskState::Failed);
}

TEST_F(WorkerBuildingTest, RefusesAnUnknownFaultAndAnUnknownWorker)
{
    EXPECT_EQ(admin("POST", "faults", R"({"explode":true})").status, 400);
    EXPECT_EQ(admin("POST", "faults", R"({"restart":1})").status, 400);
    EXPECT_EQ(admin("POST", "faults?worker=nobody", "{}").status, 404);
}

TEST(WorkersInVmList, ReadsTheNames)
{
    const auto workers = workersInVmList(R"({"vms":[{"worker":"a","rack":"r"},{"worker":"b"}]})");
    ASSERT_TRUE(workers.ok());
    EXPECT_EQ(*workers, (std::vector<WorkerName> { WorkerName("a"), WorkerName("b") }));
    EXPECT_FALSE(workersInVmList("{}").ok());
    EXPECT_FALSE(workersInVmList(R"({"vms":[{}]})").ok());
}

} // namespace
} // namespace mangohall
