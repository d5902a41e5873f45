#pragma once

#include <cstdint>
#include <memory>

#include "standins/delay_queue_base.h"
#include "standins/fault_switches_base.h"
#include "standins/http_server_base.h"

namespace mangohall {

// Passes requests to the handler of a stand-in and simulates the faults that are switched on. POST /admin/faults
// switches them; requests under /admin are never affected by faults.
class FaultyHandler : public RequestHandler {
public:
    // Both arguments must outlive this handler.
    FaultyHandler(RequestHandler& inner, FaultSwitches& switches);
    ~FaultyHandler() override;
    FaultyHandler(const FaultyHandler&) = delete;
    FaultyHandler& operator=(const FaultyHandler&) = delete;

    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

private:
    void setFaults(const ServedRequest& request, Exchange& exchange);

    RequestHandler& m_inner;
    FaultSwitches& m_switches;
    std::shared_ptr<DelayQueue> m_queue;
    // The largest connection number so far; used by the server's single thread only.
    std::uint64_t m_newestConnection = 0;
};

// Makes a response with a JSON body.
HttpResponse jsonResponse(int status, const nlohmann::json& body);

// Makes the response to a request that failed: {"error": message}.
HttpResponse errorResponse(int httpStatus, const absl::Status& status);

} // namespace mangohall
