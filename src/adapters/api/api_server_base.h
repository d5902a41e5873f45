#pragma once

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "adapters/api/api_settings_type.h"
#include "adapters/api/close_watcher_base.h"
#include "adapters/api/limit_listener_port.h"
#include "adapters/observe/report_source_port.h"
#include "ports/caller_port.h"
#include "ports/clock_port.h"
#include "ports/event_sink_port.h"

struct MHD_Daemon;

namespace mangohall {

struct ApiContext;

// HTTP front end for callers and operators. It converts requests into events of the node. A waiting caller occupies a
// connection but no thread.
class ApiServer : public CallerPort, private CloseListener {
public:
    // The sink, the reports and the clock must outlive the server.
    ApiServer(const ApiSettings& settings, EventSink& sink, const ReportSource& reports, const Clock& clock);
    ~ApiServer() override;
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    // Starts to listen and to serve requests. InvalidValue if the address is not an IPv4 address, Internal if the
    // server cannot listen on it or the close watcher cannot start.
    absl::Status start();

    // Stops gracefully: accepts no new connections, refuses new requests with Draining, ends the watches, and waits up
    // to `grace` for pending answers. Calls still pending after that are answered with TimedOut. May be called
    // repeatedly.
    void stop(absl::Duration grace);

    // Sets whether the process accepts work. /readyz reports ready if it does and the node has read the configuration.
    void setReady(bool isReady);

    // TCP port that the server listens on; 0 before the start.
    std::uint16_t port() const { return m_port; }

    // Number of times that a client met the limit.
    std::uint64_t limitCount(ClientLimit limit) const;
    // Bytes that unfinished request bodies hold.
    std::size_t heldBodyBytes() const;
    // Number of open connections.
    std::size_t connectionCount() const;

    // Delivers an answer of the node to the caller's connection. `isLast` is false for an answer that further ones of
    // the same watch follow.
    void answer(CallerId caller, const CallerAnswer& answer, bool isLast) override;

private:
    void onClosed(CallerId caller) override;
    void onHeartbeat() override;
    // Waits until no request is being served; false if the timeout expires first.
    bool awaitIdle(absl::Duration timeout);

    std::unique_ptr<ApiContext> m_context;
    // HTTP server of the library; null while the server is not running.
    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
};

} // namespace mangohall
