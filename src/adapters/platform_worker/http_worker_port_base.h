#pragma once

#include "absl/time/time.h"
#include "adapters/http/http_client_port.h"
#include "core/time_const.h"
#include "ports/worker_port.h"

namespace mangohall {

// Calls workers over HTTP: POST http://ADDRESS/v1/calls with JSON.
class HttpWorkerPort : public WorkerPort {
public:
    // The client must outlive the port and its calls.
    explicit HttpWorkerPort(HttpClient& client, absl::Duration timeout = workerCallTimeout);

    // Fails with the error of the HTTP client if there is no response, Internal if its status is not 200, and
    // MalformedBody if it is not a valid report of this worker.
    void call(const WorkerName& worker, absl::string_view address, const WorkerCall& request, Done done) override;

private:
    HttpClient& m_client;
    const absl::Duration m_timeout;
};

} // namespace mangohall
