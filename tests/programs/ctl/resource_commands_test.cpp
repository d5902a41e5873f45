// Tests of the commands on declared resources.
#include <filesystem>

#include "core/error_func.h"
#include "programs/ctl/fake_entry_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr const char* twoDeclarations = R"([
    {"kind": "services", "name": "regdesk", "spec": {"slotsPerWorker": 8}},
    {"kind": "organisations", "name": "zagara", "spec": {"weight": 2}}
])";

class ResourceCommandsTest : public testing::Test, protected ClientFixture {
protected:
    void SetUp() override { m_file = writeFile("all.json", twoDeclarations); }

    std::string m_file;
};

TEST_F(ResourceCommandsTest, AppliesADeclarationOnce)
{
    EXPECT_EQ(run({ "apply", "-f", m_file, "--dry-run" }), ExitCode::Differences);
    EXPECT_TRUE(m_entry.m_objects.empty());
    EXPECT_EQ(run({ "diff", "-f", m_file }), ExitCode::Differences);
    m_out.str("");
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Ok);
    EXPECT_EQ(m_out.str(), "create organisations/zagara\ncreate services/regdesk\n");
    EXPECT_EQ(m_entry.m_objects.size(), 2U);
    const std::size_t requests = m_entry.m_requests.size();
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Ok);
    EXPECT_EQ(run({ "apply", "-f", m_file, "--dry-run" }), ExitCode::Ok);
    EXPECT_EQ(run({ "diff", "-f", m_file }), ExitCode::Ok);
    for (std::size_t index = requests; index < m_entry.m_requests.size(); ++index)
        EXPECT_EQ(m_entry.m_requests[index].method, "GET");
}

TEST_F(ResourceCommandsTest, ReadsADirectory)
{
    writeFile("more/drain.json", R"({"kind":"drains","name":"x","spec":{"target":"rack","targetName":"r1"}})");
    EXPECT_EQ(run({ "apply", "-f", std::filesystem::path(m_file).parent_path().string() }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_objects.size(), 3U);
}

TEST_F(ResourceCommandsTest, ReadsAResourceBackAfterALostResponse)
{
    const FakeEntry::Handler serve = [this](const HttpRequest& request) { return m_entry.serve(request); };
    const FakeEntry::Handler serveButLoseResponse = [this](const HttpRequest& request) {
        static_cast<void>(m_entry.serve(request));
        return lostResponse();
    };
    // Two lists, then a write that takes effect but whose response is lost. The retry at the next entry gets a
    // conflict.
    m_entry.m_handlers = { serve, serve, serveButLoseResponse };
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Ok) << m_errors.str();
    EXPECT_EQ(m_entry.m_objects.size(), 2U);
    const HttpRequest& first = m_entry.m_requests[2];
    const HttpRequest& again = m_entry.m_requests[3];
    EXPECT_EQ(first.url, "http://one/v1/organisations/zagara");
    EXPECT_EQ(again.url, "http://two/v1/organisations/zagara");
    EXPECT_EQ(first.body, again.body);
    EXPECT_EQ(m_entry.m_requests[4].method, "GET");
}

TEST_F(ResourceCommandsTest, ReportsAConflictWithTheChangeOfAnotherClient)
{
    const FakeEntry::Handler serve = [this](const HttpRequest& request) { return m_entry.serve(request); };
    const FakeEntry::Handler changeByAnotherClient = [this](const HttpRequest& request) {
        HttpRequest other = request;
        other.headers = { { "X-Change-Id", "change-of-another-client" } };
        static_cast<void>(m_entry.serve(other));
        return lostResponse();
    };
    m_entry.m_handlers = { serve, serve, changeByAnotherClient };
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Refused);
    EXPECT_NE(m_errors.str().find("revisionConflict"), std::string::npos);
}

TEST_F(ResourceCommandsTest, DistinguishesUnreachableFromOutcomeUnknown)
{
    const FakeEntry::Handler refuseConnection = [](const HttpRequest&) { return refusedConnection(); };
    const FakeEntry::Handler loseResponse = [](const HttpRequest&) { return lostResponse(); };
    const FakeEntry::Handler serve = [this](const HttpRequest& request) { return m_entry.serve(request); };
    m_entry.m_handlers.assign(100, refuseConnection);
    EXPECT_EQ(run({ "get", "nodes" }), ExitCode::Unreachable);
    EXPECT_EQ(m_entry.m_requests.size(), 10U);
    EXPECT_EQ(m_pause.m_pauses.size(), 4U);
    m_entry.m_handlers.assign(100, loseResponse);
    EXPECT_EQ(run({ "get", "nodes" }), ExitCode::Unreachable);
    m_entry.m_handlers.assign(100, refuseConnection);
    m_entry.m_handlers.push_front(serve);
    m_entry.m_handlers.push_front(serve);
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Unreachable);
    m_entry.m_handlers.assign(100, loseResponse);
    m_entry.m_handlers.push_front(serve);
    m_entry.m_handlers.push_front(serve);
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::OutcomeUnknown);
    m_entry.m_handlers.assign(100, refuseConnection);
    m_entry.m_handlers.push_front(loseResponse);
    EXPECT_EQ(run({ "delete", "drains", "x" }), ExitCode::OutcomeUnknown);
}

TEST_F(ResourceCommandsTest, StopsAtTheFirstRefusedChange)
{
    const FakeEntry::Handler serve = [this](const HttpRequest& request) { return m_entry.serve(request); };
    m_entry.m_handlers
        = { serve, serve, [](const HttpRequest&) { return errorResponse(ErrorKind::GuaranteeDoesNotPack); } };
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Refused);
    EXPECT_TRUE(m_entry.m_objects.empty());
    EXPECT_TRUE(m_pause.m_pauses.empty());
}

TEST_F(ResourceCommandsTest, ValidatesFilesWithoutRequests)
{
    EXPECT_EQ(run({ "validate", "-f", m_file }), ExitCode::Ok);
    EXPECT_EQ(run({ "validate", "-f", writeFile("bad.json", "{") }), ExitCode::Usage);
    EXPECT_EQ(run({ "validate", "-f", m_file + ".absent" }), ExitCode::Usage);
    EXPECT_EQ(run({ "apply", "-f", writeFile("bad.json", "[{}]") }), ExitCode::Usage);
    EXPECT_TRUE(m_entry.m_requests.empty());
}

TEST_F(ResourceCommandsTest, DrainsARackAndUndoesIt)
{
    EXPECT_EQ(run({ "drain", "rack", "r1" }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_objects["/v1/drains/rack-r1"]["spec"]["targetName"], "r1");
    EXPECT_EQ(run({ "drain", "rack", "r1" }), ExitCode::Ok);
    EXPECT_EQ(run({ "drain", "shelf", "r1" }), ExitCode::Usage);
    EXPECT_EQ(run({ "drain", "rack", "r1", "--undo" }), ExitCode::Ok);
    EXPECT_TRUE(m_entry.m_objects.empty());
    EXPECT_EQ(run({ "drain", "rack", "r1", "--undo" }), ExitCode::Refused);
}

TEST_F(ResourceCommandsTest, ReportsSuccessWhenTheResponseToADeletionIsLost)
{
    EXPECT_EQ(run({ "drain", "rack", "r1" }), ExitCode::Ok);
    m_entry.m_handlers = { [this](const HttpRequest& request) {
        static_cast<void>(m_entry.serve(request));
        return lostResponse();
    } };
    EXPECT_EQ(run({ "delete", "drains", "rack-r1" }), ExitCode::Ok);
}

TEST_F(ResourceCommandsTest, PrintsTablesAndJson)
{
    EXPECT_EQ(run({ "apply", "-f", m_file }), ExitCode::Ok);
    m_out.str("");
    EXPECT_EQ(run({ "get", "organisations" }), ExitCode::Ok);
    EXPECT_EQ(m_out.str().rfind("name    ", 0), 0U) << m_out.str();
    m_out.str("");
    EXPECT_EQ(run({ "--output", "json", "get", "organisations", "zagara" }), ExitCode::Ok);
    EXPECT_EQ(nlohmann::json::parse(m_out.str())["spec"]["weight"], 2);
    EXPECT_EQ(run({ "get", "organisations", "nobody" }), ExitCode::Refused);
}

TEST_F(ResourceCommandsTest, RejectsInvalidCommandLines)
{
    EXPECT_EQ(run({}), ExitCode::Usage);
    EXPECT_EQ(run({ "fly" }), ExitCode::Usage);
    EXPECT_EQ(run({ "get" }), ExitCode::Usage);
    EXPECT_EQ(run({ "get", "nodes", "--colour" }), ExitCode::Usage);
    EXPECT_EQ(run({ "get", "nodes", "--output", "xml" }), ExitCode::Usage);
    EXPECT_EQ(run({ "get", "nodes", "--timeout", "soon" }), ExitCode::Usage);
    EXPECT_EQ(run({ "apply" }), ExitCode::Usage);
    EXPECT_EQ(run({ "get", "--help" }), ExitCode::Ok);
    EXPECT_TRUE(m_entry.m_requests.empty());
}

TEST_F(ResourceCommandsTest, SendsTheTokenFromAFile)
{
    const std::string tokenFile = writeFile("token", "of-a-file\n");
    const std::vector<std::string> words = { "--entry", "http://one", "--token-file", tokenFile, "get", "nodes" };
    EXPECT_EQ(runClient(words, { m_entry, m_random, m_pause, m_out, m_errors }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_requests[0].headers[0].value, "Bearer of-a-file");
}

} // namespace
} // namespace mangohall
