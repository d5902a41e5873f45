#include "programs/server/server_program_func.h"

#include <csignal>

#include <fstream>

#include "programs/server/server_arguments_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

using Arguments = std::vector<const char*>;

// The calls that a FakeServerProcess received, in order.
struct CallRecord {
    std::vector<std::string> calls;
};

// Records its calls. A successful start raises SIGTERM, so that the program stops at once.
class FakeServerProcess : public ServerProcess {
public:
    FakeServerProcess(CallRecord& record, absl::Status startStatus)
        : m_record(record)
        , m_startStatus(std::move(startStatus))
    {
    }

    absl::Status start() override
    {
        m_record.calls.emplace_back("start");
        if (m_startStatus.ok())
            std::raise(SIGTERM);
        return m_startStatus;
    }

    bool drain(absl::Duration timeout) override
    {
        m_record.calls.push_back("drain " + absl::FormatDuration(timeout));
        return true;
    }

    void stop() override { m_record.calls.emplace_back("stop"); }

private:
    CallRecord& m_record;
    const absl::Status m_startStatus;
};

ServerProgram fakeProgram(CallRecord& record, const absl::Status& startStatus)
{
    return { "mangohall-test", NodeRole::Scheduler,
        [&record, startStatus](const Settings&) { return std::make_unique<FakeServerProcess>(record, startStatus); } };
}

// Writes a settings file and returns its path. The settings are invalid if the data centre is empty.
std::string writeSettings(absl::string_view dataCentre)
{
    std::string path = testing::TempDir() + "/server_program_test.json";
    std::ofstream(path) << R"({ "node": { "name": "s", "region": "r", "dataCentre": ")" << dataCentre << R"(" },
        "peer": { "listenIp": "127.0.0.1", "listenPort": 0, "address": "127.0.0.1:1" },
        "store": { "endpoints": ["http://127.0.0.1:1"] }, "vmList": { "endpoint": "http://127.0.0.1:2" },
        "drainTimeoutMs": 2000, "log": { "level": "error" } })";
    return path;
}

TEST(ServerArguments, ParsesEachActionAndRejectsInvalidArguments)
{
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--settings", "f" }, "p").settingsPath, "f");
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--settings", "f", "--check-settings" }, "p").action,
        CommandAction::CheckSettings);
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--help" }, "p").action, CommandAction::ShowText);
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--version" }, "p").text, "p 0.1.0\n");
    EXPECT_EQ(parseServerArguments(Arguments { "p" }, "p").action, CommandAction::ShowError);
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--colour" }, "p").action, CommandAction::ShowError);
    EXPECT_EQ(parseServerArguments(Arguments { "p", "file" }, "p").action, CommandAction::ShowError);
    EXPECT_EQ(parseServerArguments(Arguments { "p", "--set", "f" }, "p").action, CommandAction::ShowError);
}

TEST(ServerProgram, DrainsAndStopsOnSigterm)
{
    CallRecord record;
    const std::string path = writeSettings("ct-a");
    EXPECT_EQ(
        runServerProgram(Arguments { "p", "--settings", path.c_str() }, fakeProgram(record, absl::OkStatus())), 0);
    EXPECT_EQ(record.calls, (std::vector<std::string> { "start", "drain 2s", "stop" }));
}

TEST(ServerProgram, ExitsWithOneIfItCannotStart)
{
    CallRecord record;
    const std::string path = writeSettings("ct-a");
    const ServerProgram program = fakeProgram(record, absl::InternalError("port taken"));
    EXPECT_EQ(runServerProgram(Arguments { "p", "--settings", path.c_str() }, program), 1);
    EXPECT_EQ(record.calls, (std::vector<std::string> { "start", "stop" }));
}

TEST(ServerProgram, ExitsWithTwoOnInvalidSettings)
{
    CallRecord record;
    const std::string path = writeSettings("");
    const ServerProgram program = fakeProgram(record, absl::OkStatus());
    EXPECT_EQ(runServerProgram(Arguments { "p", "--settings", path.c_str() }, program), 2);
    EXPECT_EQ(runServerProgram(Arguments { "p", "--settings", path.c_str(), "--check-settings" }, program), 2);
    EXPECT_EQ(runServerProgram(Arguments { "p" }, program), 2);
    EXPECT_TRUE(record.calls.empty());
}

} // namespace
} // namespace mangohall
