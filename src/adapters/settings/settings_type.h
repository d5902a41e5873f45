// The settings of an entry or a scheduler, as its settings file gives them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "adapters/settings/settings_fault_func.h"
#include "core/name_type.h"
#include "membership/membership_type.h"

namespace mangohall {

// Where a server listens.
struct ListenSettings {
    std::string ip;
    std::uint16_t port = 0;
};

// What one client, and all of them together, may take of an entry.
struct LimitSettings {
    std::size_t bodyBytes = 1048576;
    std::size_t headerBytes = 16384;
    std::size_t connections = 4096;
    std::size_t connectionsPerClient = 256;
    std::size_t watches = 1000;
    std::size_t waitingCallers = 10000;
    // The longest that a request may ask to wait.
    absl::Duration waitCap = absl::Seconds(60);
};

// The tokens of one organisation's callers.
struct OrganisationTokens {
    OrganisationName organisation;
    std::vector<std::string> tokens;
};

// The secrets that callers and operators show. They never reach a log or the output of a check.
struct TokenSettings {
    std::vector<std::string> operatorTokens;
    std::vector<OrganisationTokens> organisationTokens;
};

struct LogSettings {
    // One of "debug", "info", "warn" and "error".
    std::string level = "info";
    // Standard error if empty.
    std::string filePath;
};

// Everything that a node's program is told by its settings file.
struct Settings {
    Member self;
    ListenSettings peerListen;
    // Entry only.
    ListenSettings apiListen;
    std::vector<std::string> storeEndpoints;
    std::string vmListEndpoint;
    std::size_t partCount = 8;
    std::size_t workerThreads = 4;
    LimitSettings limits;
    TokenSettings tokens;
    LogSettings log;
    // How long a stop waits for the node to hand everything over.
    absl::Duration drainTimeout = absl::Seconds(30);
    std::uint64_t seed = 1;
};

// Settings are valid only if there is no fault.
struct SettingsResult {
    Settings settings;
    std::vector<SettingsFault> faults;
};

} // namespace mangohall
