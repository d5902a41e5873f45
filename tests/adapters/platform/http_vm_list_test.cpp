#include "adapters/platform/http_vm_list_base.h"

#include "adapters/platform/fake_http_client_base.h"
#include "adapters/platform/vm_list_json_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

VmEntry makeVm()
{
    VmEntry vm;
    vm.worker = WorkerName("w1");
    vm.address = "127.0.0.1:4000";
    vm.region = RegionName("sic-east");
    vm.dataCentre = DataCentreName("ct-a");
    vm.rack = RackName("r1");
    vm.capacity = { 128'000, 256'000'000'000, 8 };
    vm.isLeaving = true;
    return vm;
}

class HttpVmListTest : public testing::Test {
protected:
    void read(absl::string_view dataCentre)
    {
        m_list.read(DataCentreName(dataCentre),
            [this](absl::StatusOr<std::vector<VmEntry>> vms) { m_result = std::move(vms); });
    }

    FakeHttpClient m_http;
    HttpVmList m_list { m_http, "http://a" };
    absl::StatusOr<std::vector<VmEntry>> m_result;
};

TEST_F(HttpVmListTest, ReadsTheVmsOfADataCentre)
{
    read("ct a");
    EXPECT_EQ(m_http.lastRequest().url, "http://a/v1/vms?dataCentre=ct%20a");
    EXPECT_EQ(m_http.lastRequest().method, "GET");
    const std::vector<VmEntry> vms = { makeVm() };
    m_http.respond(200, vmListToJson(vms).dump());
    ASSERT_TRUE(m_result.ok()) << m_result.status();
    EXPECT_EQ(*m_result, vms);
}

TEST_F(HttpVmListTest, ReadsAllVms)
{
    read("");
    EXPECT_EQ(m_http.lastRequest().url, "http://a/v1/vms");
}

TEST_F(HttpVmListTest, IgnoresUnknownFields)
{
    nlohmann::json list = vmListToJson(std::vector<VmEntry> { makeVm() });
    list["vms"][0]["zone"] = 3;
    read("");
    m_http.respond(200, list.dump());
    EXPECT_TRUE(m_result.ok()) << m_result.status();
}

TEST_F(HttpVmListTest, RejectsIncompleteResponses)
{
    for (const absl::string_view body : { "", "{}", R"({"vms":[{"worker":"w1"}]})", R"({"vms":{}})" }) {
        read("");
        m_http.respond(200, body);
        EXPECT_EQ(errorKindOf(m_result.status()), ErrorKind::OutcomeUnknown) << body;
    }
    read("");
    m_http.respond(500, R"({"vms":[]})");
    EXPECT_EQ(errorKindOf(m_result.status()), ErrorKind::OutcomeUnknown);
}

} // namespace
} // namespace mangohall
