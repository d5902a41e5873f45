// Tests HttpVmList against the stand-in of the VM list over real connections.
#include "absl/strings/str_cat.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/http/response_waiter_base.h"
#include "adapters/platform/http_vm_list_base.h"
#include "core/error_func.h"
#include "standins/building_json_func.h"
#include "standins/faulty_handler_base.h"
#include "standins/real_clock_base.h"
#include "standins/vm_list_service_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view building = R"({"generate":{"firstPort":4000,"workersPerRack":2,"dataCentres":[
    {"region":"sic-east","name":"ct-a","workers":3},{"region":"sic-west","name":"pa-a","workers":1}]}})";

class VmListLoopbackTest : public testing::Test {
protected:
    VmListLoopbackTest()
        : m_service(m_clock, m_switches, *buildingFromJson(building))
        , m_handler(m_service, m_switches)
        , m_server(m_handler)
    {
    }

    void SetUp() override { ASSERT_TRUE(m_server.start("127.0.0.1", 0).ok()); }

    std::string url() const { return absl::StrCat("http://127.0.0.1:", m_server.port()); }

    absl::StatusOr<std::vector<VmEntry>> read(absl::string_view dataCentre)
    {
        HttpVmList list(m_http, url(), absl::Seconds(60));
        absl::Mutex mutex;
        absl::StatusOr<std::vector<VmEntry>> result;
        bool isDone = false;
        list.read(DataCentreName(dataCentre), [&](absl::StatusOr<std::vector<VmEntry>> vms) {
            const absl::MutexLock lock(&mutex);
            result = std::move(vms);
            isDone = true;
        });
        const absl::MutexLock lock(&mutex);
        mutex.Await(absl::Condition(&isDone));
        return result;
    }

    // Posts a change of a VM to the stand-in and returns the HTTP status.
    int post(absl::string_view worker, absl::string_view change)
    {
        HttpRequest request;
        request.method = "POST";
        request.url = absl::StrCat(url(), "/admin/vms/", worker);
        request.body = std::string(change);
        request.timeout = absl::Seconds(60);
        ResponseWaiter waiter;
        m_http.send(request, waiter.done());
        return waiter.wait()->status;
    }

    RealClock m_clock;
    FaultSwitches m_switches;
    VmListService m_service;
    FaultyHandler m_handler;
    HttpServer m_server;
    CurlHttpClient m_http { m_clock, {} };
};

TEST_F(VmListLoopbackTest, ReadsOneDataCentreOrAll)
{
    EXPECT_EQ(read("ct-a")->size(), 3U);
    EXPECT_EQ(read("")->size(), 4U);
    EXPECT_TRUE(read("arima")->empty());
}

TEST_F(VmListLoopbackTest, ShowsVmsThatLeaveAndAreGone)
{
    EXPECT_EQ(post("ct-a-w0000", R"({"isLeaving":true})"), 200);
    EXPECT_EQ(post("ct-a-w0001", R"({"isGone":true})"), 200);
    const std::vector<VmEntry> vms = *read("ct-a");
    ASSERT_EQ(vms.size(), 2U);
    EXPECT_TRUE(vms[0].isLeaving);
    EXPECT_EQ(vms[1].worker.text(), "ct-a-w0002");
}

TEST_F(VmListLoopbackTest, DelaysChangesByTheConfiguredLag)
{
    ASSERT_TRUE(m_switches.set({ { "lagMs", 3'600'000 } }, 0).ok());
    EXPECT_EQ(post("ct-a-w0000", R"({"isGone":true})"), 200);
    EXPECT_EQ(read("ct-a")->size(), 3U);
    ASSERT_TRUE(m_switches.set({ { "lagMs", 0 } }, 0).ok());
    EXPECT_EQ(read("ct-a")->size(), 2U);
}

TEST_F(VmListLoopbackTest, RejectsInvalidChanges)
{
    EXPECT_EQ(post("ct-a-w0000", R"({"isLeavin":true})"), 400);
    EXPECT_EQ(post("no-such", R"({"isLeaving":true})"), 404);
}

TEST_F(VmListLoopbackTest, ReportsAnUnavailableList)
{
    ASSERT_TRUE(m_switches.set({ { "refuse", true } }, 0).ok());
    EXPECT_EQ(errorKindOf(read("ct-a").status()), ErrorKind::OutcomeUnknown);
}

} // namespace
} // namespace mangohall
