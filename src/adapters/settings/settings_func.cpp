#include "adapters/settings/settings_func.h"

#include <arpa/inet.h>

#include <filesystem>
#include <limits>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/types/optional.h"
#include "adapters/settings/settings_file_func.h"
#include "adapters/settings/settings_reader_base.h"

namespace mangohall {

namespace {

constexpr IntegerRange portRange { 0, 65535 };
constexpr IntegerRange partCountRange { 1, 256 };
constexpr IntegerRange threadCountRange { 1, 64 };
constexpr IntegerRange bodyBytesRange { 1024, 16777216 };
constexpr IntegerRange headerBytesRange { 1024, 1048576 };
// A quarter of the least memory holds one body of the largest size that bodyBytesRange allows.
constexpr IntegerRange memoryMbRange { 64, 1048576 };
constexpr IntegerRange connectionCountRange { 1, 100000 };
constexpr IntegerRange watchCountRange { 1, 100000 };
constexpr IntegerRange waitingCallerCountRange { 1, 1000000 };
constexpr IntegerRange waitCapMsRange { 0, 600000 };
constexpr IntegerRange drainTimeoutMsRange { 0, 600000 };
constexpr IntegerRange seedRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr absl::string_view logLevels[] = { "debug", "info", "warn", "error" };
// Short tokens can be guessed.
constexpr std::size_t minTokenCharacters = 16;

bool isIpAddress(const std::string& text)
{
    in_addr ipv4 {};
    in6_addr ipv6 {};
    return inet_pton(AF_INET, text.c_str(), &ipv4) == 1 || inet_pton(AF_INET6, text.c_str(), &ipv6) == 1;
}

bool isIpAndPort(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::int32_t port = 0;
    const bool isPort = absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 && port <= portRange.maximum;
    return isPort && isIpAddress(text.substr(0, colon));
}

void readListen(SettingsReader& section, ListenSettings& listen)
{
    section.requireText("listenIp", listen.ip);
    if (!listen.ip.empty() && !isIpAddress(listen.ip))
        section.fail("listenIp", "must be an IP address");
    std::int64_t port = 0;
    section.requireInteger("listenPort", portRange, port);
    listen.port = static_cast<std::uint16_t>(port);
}

void readNode(SettingsReader section, Member& self)
{
    std::string name;
    std::string region;
    std::string dataCentre;
    section.requireText("name", name);
    section.requireText("region", region);
    section.requireText("dataCentre", dataCentre);
    section.finish();
    self.node = NodeName(name);
    self.region = RegionName(region);
    self.dataCentre = DataCentreName(dataCentre);
}

void readPeer(SettingsReader section, Settings& settings)
{
    readListen(section, settings.peerListen);
    section.requireText("address", settings.self.address);
    if (!settings.self.address.empty() && !isIpAndPort(settings.self.address))
        section.fail("address", "must be an IP address and a port");
    section.finish();
}

void readApi(SettingsReader section, Settings& settings)
{
    readListen(section, settings.apiListen);
    section.finish();
}

void checkUrl(SettingsReader& section, absl::string_view field, absl::string_view url)
{
    if (!absl::StartsWith(url, "http://") && !absl::StartsWith(url, "https://"))
        section.fail(field, "must start with http:// or https://");
}

void readStore(SettingsReader section, Settings& settings)
{
    section.readTexts("endpoints", settings.storeEndpoints);
    if (settings.storeEndpoints.empty())
        section.fail("endpoints", "must name at least one endpoint");
    for (std::size_t i = 0; i < settings.storeEndpoints.size(); ++i)
        checkUrl(section, absl::StrCat("endpoints[", i, "]"), settings.storeEndpoints[i]);
    section.finish();
}

void readVmList(SettingsReader section, Settings& settings)
{
    section.requireText("endpoint", settings.vmListEndpoint);
    if (!settings.vmListEndpoint.empty())
        checkUrl(section, "endpoint", settings.vmListEndpoint);
    section.finish();
}

void readThreads(SettingsReader section, Settings& settings)
{
    section.readNumber("parts", partCountRange, settings.partCount);
    section.readNumber("workers", threadCountRange, settings.workerThreads);
    section.finish();
}

void readLimits(SettingsReader section, LimitSettings& limits)
{
    section.readNumber("bodyBytes", bodyBytesRange, limits.bodyBytes);
    section.readNumber("headerBytes", headerBytesRange, limits.headerBytes);
    section.readNumber("memoryMb", memoryMbRange, limits.memoryMb);
    section.readNumber("connections", connectionCountRange, limits.connections);
    section.readNumber("connectionsPerClient", connectionCountRange, limits.connectionsPerClient);
    section.readNumber("watches", watchCountRange, limits.watches);
    section.readNumber("waitingCallers", waitingCallerCountRange, limits.waitingCallers);
    section.readDuration("waitCapMs", waitCapMsRange, limits.waitCap);
    section.finish();
}

void readTokenList(SettingsReader& section, absl::string_view field, std::vector<std::string>& tokens)
{
    std::vector<std::string> listed;
    section.readTexts(field, listed);
    for (std::size_t i = 0; i < listed.size(); ++i) {
        if (listed[i].size() < minTokenCharacters)
            section.fail(absl::StrCat(field, "[", i, "]"),
                absl::StrCat("must have at least ", minTokenCharacters, " characters"));
    }
    tokens.insert(tokens.end(), listed.begin(), listed.end());
}

void readTokenFields(SettingsReader& section, TokenSettings& tokens)
{
    readTokenList(section, "operators", tokens.operatorTokens);
    SettingsReader organisations = section.section("organisations");
    for (const std::string& name : organisations.fields()) {
        OrganisationTokens row { OrganisationName(name), {} };
        readTokenList(organisations, name, row.tokens);
        tokens.organisationTokens.push_back(row);
    }
}

void readTokenFile(const std::string& path, TokenSettings& tokens, std::vector<SettingsFault>& faults)
{
    const absl::optional<std::string> text = readSettingsText(path);
    if (!text) {
        faults.push_back({ "tokens.filePath", "the file cannot be read" });
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(*text, nullptr, false);
    if (json.is_discarded()) {
        faults.push_back({ "tokens.filePath", "the file is not JSON" });
        return;
    }
    SettingsReader reader(json, "tokens.filePath", faults);
    readTokenFields(reader, tokens);
    reader.finish();
}

void readTokens(
    SettingsReader section, const std::string& directory, TokenSettings& tokens, std::vector<SettingsFault>& faults)
{
    readTokenFields(section, tokens);
    std::string filePath;
    section.readText("filePath", filePath);
    section.finish();
    if (!filePath.empty())
        readTokenFile((std::filesystem::path(directory) / filePath).string(), tokens, faults);
}

void readLog(SettingsReader section, LogSettings& log)
{
    section.readOneOf("level", log.level, logLevels);
    section.readText("filePath", log.filePath);
    section.finish();
}

void readAll(const nlohmann::json& json, const std::string& directory, SettingsResult& result)
{
    Settings& settings = result.settings;
    SettingsReader reader(json, "", result.faults);
    readNode(reader.section("node"), settings.self);
    readPeer(reader.section("peer"), settings);
    readStore(reader.section("store"), settings);
    readVmList(reader.section("vmList"), settings);
    readThreads(reader.section("threads"), settings);
    readLog(reader.section("log"), settings.log);
    reader.readDuration("drainTimeoutMs", drainTimeoutMsRange, settings.drainTimeout);
    reader.readNumber("seed", seedRange, settings.seed);
    if (settings.self.role == NodeRole::Entry) {
        readApi(reader.section("api"), settings);
        readLimits(reader.section("limits"), settings.limits);
        readTokens(reader.section("tokens"), directory, settings.tokens, result.faults);
    }
    reader.finish();
}

} // namespace

SettingsResult parseSettings(absl::string_view text, NodeRole role, const std::string& directory)
{
    SettingsResult result;
    result.settings.self.role = role;
    const nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded()) {
        result.faults.push_back({ "", "the file is not JSON" });
        return result;
    }
    readAll(json, directory, result);
    return result;
}

SettingsResult readSettingsFile(const std::string& path, NodeRole role)
{
    const absl::optional<std::string> text = readSettingsText(path);
    if (!text) {
        SettingsResult result;
        result.faults.push_back({ "", "the file cannot be read" });
        return result;
    }
    return parseSettings(*text, role, std::filesystem::path(path).parent_path().string());
}

} // namespace mangohall
