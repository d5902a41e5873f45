// Settings of an entry or a scheduler, as read from its settings file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "adapters/settings/settings_fault_func.h"
#include "core/name_type.h"
#include "membership/membership_type.h"

namespace mangohall {

// The local address and port on which a server listens. Port 0 lets the operating system choose a port.
struct ListenSettings {
    std::string ip;
    std::uint16_t port = 0;
};

// Limits on the requests and connections that an entry accepts.
struct LimitSettings {
    // The largest body and the largest header section of a request, in bytes.
    std::size_t bodyBytes = 1048576;
    std::size_t headerBytes = 16384;
    // The memory that the process may use, in units of 1,048,576 bytes. A quarter of it is for unfinished bodies, an
    // eighth for connections. Without it, 256 are assumed for the bodies, and the connections are not bounded by it.
    absl::optional<std::size_t> memoryMb;
    // The most open connections, in total and from one client. A memory that is set bounds the total as well.
    std::size_t connections = 4096;
    std::size_t connectionsPerClient = 256;
    // The most open watches and the most callers that wait for an answer.
    std::size_t watches = 1000;
    std::size_t waitingCallers = 10000;
    // The longest time for which a request may ask to wait.
    absl::Duration waitCap = absl::Seconds(60);
};

// The tokens that authenticate callers of one organisation.
struct OrganisationTokens {
    OrganisationName organisation;
    std::vector<std::string> tokens;
};

// The secret tokens that authenticate callers and operators. They must not appear in a log or in the output of a
// settings check.
struct TokenSettings {
    std::vector<std::string> operatorTokens;
    std::vector<OrganisationTokens> organisationTokens;
};

// Level and destination of the log.
struct LogSettings {
    // The lowest level that is logged: one of "debug", "info", "warn" and "error".
    std::string level = "info";
    // The file that lines are appended to; empty for standard error.
    std::string filePath;
};

// All settings of a node.
struct Settings {
    // The node's own name, role, location and the address that other nodes reach it at.
    Member self;
    // Where the node listens for other nodes.
    ListenSettings peerListen;
    // Where the node listens for callers and operators. Entry only.
    ListenSettings apiListen;
    // The URLs of the store, at least one.
    std::vector<std::string> storeEndpoints;
    // The URL of the VM list.
    std::string vmListEndpoint;
    // The number of parts of the node.
    std::size_t partCount = 8;
    // The number of threads that handle the events of the parts.
    std::size_t workerThreads = 4;
    // Entry only.
    LimitSettings limits;
    // Entry only.
    TokenSettings tokens;
    LogSettings log;
    // The longest time for which a graceful stop waits until the node has handed over all its work.
    absl::Duration drainTimeout = absl::Seconds(30);
    // The seed of the random number generator.
    std::uint64_t seed = 1;
};

// The result of reading settings. The settings are valid only if `faults` is empty.
struct SettingsResult {
    Settings settings;
    std::vector<SettingsFault> faults;
};

} // namespace mangohall
