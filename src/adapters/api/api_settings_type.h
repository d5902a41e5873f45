// Settings of the HTTP front end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "core/name_type.h"

namespace mangohall {

// A bearer token and the identity that it authenticates.
struct TokenEntry {
    std::string token;
    bool isOperator = false;
    // Organisation that a caller's token acts for; empty for an operator.
    OrganisationName organisation;
};

// Settings of the HTTP front end.
struct ApiSettings {
    // The IPv4 address to listen on.
    std::string address = "127.0.0.1";
    // TCP port to listen on; 0 lets the system choose a free one.
    std::uint16_t port = 0;
    // Number of threads that serve the connections.
    unsigned threads = 2;
    // Name of this process in the change ids that it generates; "entry" is used if it is empty.
    std::string nodeName;
    // Accepted bearer tokens; entries with an empty token are ignored.
    std::vector<TokenEntry> tokens;
    // True if /metrics requires an operator's token.
    bool isMetricsTokenRequired = true;
    // Maximum size of a request body; longer ones are refused with BodyTooLarge.
    std::size_t maxBodyBytes = std::size_t { 1 } << 20U;
    // Maximum size of method, request target and headers together.
    std::size_t maxHeaderBytes = std::size_t { 8 } << 10U;
    // Memory that the process may use. A quarter of it is for unfinished request bodies, an eighth for connections.
    // Without it, the bodies have a quarter of 256 MiB, and the connections are not bounded by the memory.
    absl::optional<std::size_t> memoryBytes;
    // Maximum number of open connections, in total and for each client address. A memory that is set bounds the total
    // as well.
    std::size_t maxConnections = 4096;
    std::size_t maxConnectionsPerClient = 1024;
    // Maximum number of open watches.
    std::size_t maxWatches = 1000;
    // Maximum size of the unsent changes of one watch. A watch whose client reads too slowly is ended beyond it; the
    // client resumes from its last revision.
    std::size_t maxWatchBacklogBytes = std::size_t { 1 } << 20U;
    // Maximum wait that a caller may request; longer ones are shortened to it.
    absl::Duration maxWait = absl::Minutes(10);
    // A connection without traffic for this long is closed, unless it waits for an answer.
    absl::Duration idleTimeout = absl::Seconds(60);
    // A body that is not complete this long after its request head is abandoned; longer than any caller's deadline.
    absl::Duration bodyTimeout = absl::Seconds(30);
    // Interval between two heartbeat lines of an idle watch, and between two checks for bodies over their time limit.
    absl::Duration watchHeartbeatPeriod = absl::Seconds(5);
};

} // namespace mangohall
