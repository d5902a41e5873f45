#include <algorithm>
#include <fstream>

#include "adapters/settings/settings_func.h"
#include "nlohmann/json.hpp"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

nlohmann::json validEntrySettings()
{
    return nlohmann::json::parse(R"({
        "node": { "name": "entry-1", "region": "sic-east", "dataCentre": "ct-a" },
        "peer": { "listenIp": "127.0.0.1", "listenPort": 7001, "address": "127.0.0.1:7001" },
        "api": { "listenIp": "127.0.0.1", "listenPort": 8001 },
        "store": { "endpoints": ["http://127.0.0.1:2379"] },
        "vmList": { "endpoint": "http://127.0.0.1:2380" },
        "limits": { "bodyBytes": 4096, "memoryMb": 120, "waitCapMs": 1500 },
        "tokens": { "operators": ["operator-secret-1"], "organisations": { "zagara": ["caller-secret-123"] } },
        "seed": 9
    })");
}

std::vector<SettingsFault> faultsOf(const nlohmann::json& json, NodeRole role = NodeRole::Entry)
{
    return parseSettings(json.dump(), role, "").faults;
}

bool hasPath(const std::vector<SettingsFault>& faults, absl::string_view path)
{
    return std::any_of(faults.begin(), faults.end(), [path](const SettingsFault& fault) { return fault.path == path; });
}

TEST(Settings, ReadsAnEntry)
{
    const SettingsResult result = parseSettings(validEntrySettings().dump(), NodeRole::Entry, "");
    EXPECT_EQ(describeFaults(result.faults), "");
    EXPECT_EQ(result.settings.self.node, NodeName("entry-1"));
    EXPECT_EQ(result.settings.self.role, NodeRole::Entry);
    EXPECT_EQ(result.settings.apiListen.port, 8001);
    EXPECT_EQ(result.settings.limits.bodyBytes, 4096U);
    EXPECT_EQ(result.settings.limits.memoryMb, 120U);
    EXPECT_EQ(result.settings.limits.waitCap, absl::Milliseconds(1500));
    EXPECT_EQ(result.settings.tokens.organisationTokens.at(0).organisation, OrganisationName("zagara"));
    EXPECT_EQ(result.settings.seed, 9U);
}

TEST(Settings, ReportsEveryErrorWithItsPath)
{
    nlohmann::json json = validEntrySettings();
    json["node"].erase("region");
    json["peer"]["address"] = "localhost:7001";
    json["api"]["listenPort"] = 70000;
    json["store"]["endpoints"] = nlohmann::json::array({ 1 });
    json["limits"]["bodyBytes"] = "4096";
    json["limits"]["waitCap"] = 5;
    json["log"]["level"] = "loud";
    json["tokens"]["operators"] = { "short" };
    json["colour"] = "red";
    const std::vector<SettingsFault> faults = faultsOf(json);
    for (const absl::string_view path : { "node.region", "peer.address", "api.listenPort", "store.endpoints[0]",
             "limits.bodyBytes", "limits.waitCap", "log.level", "tokens.operators[0]", "colour" })
        EXPECT_TRUE(hasPath(faults, path)) << path;
    EXPECT_EQ(describeFaults(faults).find("short"), std::string::npos);
}

TEST(Settings, RejectsTextThatIsNotAnObject)
{
    EXPECT_EQ(faultsOf(nlohmann::json::array()).front().message, "must be an object");
    EXPECT_EQ(parseSettings("{", NodeRole::Entry, "").faults.size(), 1U);
    EXPECT_EQ(readSettingsFile("/nonexistent/settings.json", NodeRole::Entry).faults.size(), 1U);
    nlohmann::json json = validEntrySettings();
    json["limits"] = 3;
    EXPECT_TRUE(hasPath(faultsOf(json), "limits"));
}

TEST(Settings, RejectsFrontEndSettingsOfAScheduler)
{
    nlohmann::json json = validEntrySettings();
    const std::vector<SettingsFault> faults = faultsOf(json, NodeRole::Scheduler);
    EXPECT_TRUE(hasPath(faults, "api"));
    EXPECT_TRUE(hasPath(faults, "tokens"));
    json.erase("api");
    json.erase("tokens");
    json.erase("limits");
    EXPECT_TRUE(faultsOf(json, NodeRole::Scheduler).empty());
}

TEST(Settings, ReadsTokensFromAFile)
{
    const std::string directory = testing::TempDir();
    std::ofstream(directory + "/settings_test_tokens.json") << R"({ "operators": ["from-the-file-123"] })";
    nlohmann::json json = validEntrySettings();
    json["tokens"]["filePath"] = "settings_test_tokens.json";
    const SettingsResult result = parseSettings(json.dump(), NodeRole::Entry, directory);
    EXPECT_EQ(describeFaults(result.faults), "");
    EXPECT_EQ(result.settings.tokens.operatorTokens.size(), 2U);
    json["tokens"]["filePath"] = "no_such_file.json";
    EXPECT_TRUE(hasPath(parseSettings(json.dump(), NodeRole::Entry, directory).faults, "tokens.filePath"));
}

} // namespace
} // namespace mangohall
