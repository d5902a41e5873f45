// State that all requests of one HTTP server share.
#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/api/api_settings_type.h"
#include "adapters/api/call_table_base.h"
#include "adapters/api/close_watcher_base.h"
#include "adapters/api/connection_limiter_base.h"
#include "adapters/api/limit_logger_base.h"
#include "adapters/api/memory_share_func.h"
#include "adapters/api/token_table_base.h"
#include "adapters/api/unfinished_bodies_base.h"
#include "adapters/observe/report_source_port.h"
#include "core/connection_table_base.h"
#include "ports/clock_port.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Number of requests that are being served; a stop waits until it is zero.
struct OpenRequestCount {
    absl::Mutex mutex;
    std::size_t count ABSL_GUARDED_BY(mutex) = 0;
};

// Caller id of the front end's own readiness probe. The ids of real callers start at 1.
constexpr CallerId readinessCaller = 0;

// The library keeps the request head and its read buffer in a memory pool of this multiple of the header limit.
constexpr std::size_t connectionMemoryFactor = 4;

// Settings, ports and tables of one HTTP server. Every member is safe to use from several threads.
struct ApiContext {
    ApiContext(const ApiSettings& givenSettings, EventSink& givenSink, const ReportSource& givenReports,
        CloseListener& closeListener, const Clock& clock, std::string givenChangeIdPrefix)
        : settings(givenSettings)
        , sink(givenSink)
        , reports(givenReports)
        , changeIdPrefix(std::move(givenChangeIdPrefix))
        , tokens(settings.tokens)
        , calls(settings.maxWatches, settings.maxWatchBacklogBytes)
        , maxConnections(connectionsOf(
              settings.memoryBytes, settings.maxHeaderBytes * connectionMemoryFactor, settings.maxConnections))
        , limiter(std::numeric_limits<std::size_t>::max(), settings.maxConnectionsPerClient)
        , limits(clock)
        , connections(maxConnections, clock, &limits)
        , bodies(
              { bodyBudgetBytesOf(settings.memoryBytes), settings.maxBodyBytes, settings.bodyTimeout }, clock, limits)
        , closeWatcher(closeListener)
    {
    }

    const ApiSettings settings;
    // Receives the events for the node.
    EventSink& sink;
    // Source of the metrics and of the burn report.
    const ReportSource& reports;
    // Prefix of the change ids that this server generates; the number of the change follows it.
    const std::string changeIdPrefix;
    const TokenTable tokens;
    // Calls that wait for an answer of the node.
    CallTable calls;
    // The limit of connections in total, bounded by the memory.
    const std::size_t maxConnections;
    // Limits the connections of each client address; `connections` limits them in total.
    ConnectionLimiter limiter;
    // Counts and logs what is refused or closed because of a limit.
    LimitLogger limits;
    // Limits the connections in total.
    ConnectionTable connections;
    UnfinishedBodies bodies;
    // Detects clients that disconnect while their connection is suspended.
    CloseWatcher closeWatcher;
    OpenRequestCount openRequests;
    // Last id given to a caller; 0 before the first one.
    std::atomic<CallerId> lastCallerId { 0 };
    // Last number used in a generated change id; 0 before the first one.
    std::atomic<std::uint64_t> lastChangeNumber { 0 };
    // True while the process has started and is not draining.
    std::atomic<bool> isReady { false };
    // True once the node has read the configuration, which it needs to serve callers.
    std::atomic<bool> isConfigurationRead { false };
    // True once a stop has begun; new requests for the node are refused from then on.
    std::atomic<bool> isStopping { false };
};

} // namespace mangohall
