#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "standins/fault_switches_base.h"
#include "standins/faulty_handler_base.h"
#include "standins/http_server_base.h"
#include "standins/worker/worker_state_base.h"

namespace mangohall {

// Serves one simulated worker over HTTP, with faults of its own.
class WorkerService : public RequestHandler {
public:
    // The clock must outlive the service.
    WorkerService(
        const WorkerName& worker, absl::string_view incarnationPrefix, const Clock& clock, const WorkerTiming& timing);
    ~WorkerService() override;
    WorkerService(const WorkerService&) = delete;
    WorkerService& operator=(const WorkerService&) = delete;

    // Serves POST /v1/calls without faults, apart from dropped answers.
    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

    // Serves the same path with the faults that are switched on. Called on the server's single thread.
    void handleWithFaults(const ServedRequest& request, std::shared_ptr<Exchange> exchange);

    // Switches the faults that every stand-in has, failEveryTask and restart. A fault that is not named stays as it is.
    // silenceOpenConnections affects the connections up to `newestConnection`. InvalidValue for an unknown or malformed
    // field. Called on the server's single thread.
    absl::Status setFaults(const nlohmann::json& fields, std::uint64_t newestConnection);

    WorkerState& state() { return m_state; }
    const WorkerState& state() const { return m_state; }

private:
    absl::Status setCommonFaults(const nlohmann::json& fields, std::uint64_t newestConnection);

    WorkerState m_state;
    FaultSwitches m_switches;
    // Owns a thread, so it is only created when the first fault is switched on.
    std::unique_ptr<FaultyHandler> m_faultyHandler;
};

} // namespace mangohall
