#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "standins/fault_switches_base.h"
#include "standins/faulty_handler_base.h"
#include "standins/http_server_base.h"
#include "standins/worker/worker_state_base.h"

namespace mangohall {

// One stand-in worker behind HTTP with its own faults.
class WorkerSite : public RequestHandler {
public:
    // The clock must outlive the site.
    WorkerSite(
        const WorkerName& worker, absl::string_view incarnationPrefix, const Clock& clock, const WorkerTiming& timing);
    ~WorkerSite() override;
    WorkerSite(const WorkerSite&) = delete;
    WorkerSite& operator=(const WorkerSite&) = delete;

    // Takes POST /v1/calls, undisturbed by faults.
    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

    // The same as the faults have it. Called by the server's one thread.
    void handleWithFaults(const ServedRequest& request, std::shared_ptr<Exchange> exchange);

    // Switches faults: those of every stand-in and failEveryTask and restart. A fault that is not named stays as it is;
    // silence is for the connections up to `newestConnection`. Called by the server's one thread.
    absl::Status setFaults(const nlohmann::json& fields, std::uint64_t newestConnection);

    WorkerState& state() { return m_state; }
    const WorkerState& state() const { return m_state; }

private:
    absl::Status setCommonFaults(const nlohmann::json& fields, std::uint64_t newestConnection);

    WorkerState m_state;
    FaultSwitches m_switches;
    // Has a thread, so it is made when the first fault is switched on.
    std::unique_ptr<FaultyHandler> m_faulty;
};

} // namespace mangohall
