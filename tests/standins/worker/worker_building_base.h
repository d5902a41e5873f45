#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "standins/http_server_base.h"
#include "standins/worker/worker_service_base.h"

namespace mangohall {

// Serves all simulated workers of one process on one port. Each worker has the paths under /w/NAME, so that its address
// is "ip:port/w/NAME". A single worker is also served at the root. The other paths are
// - POST /admin/faults?worker=NAME, which sets the faults of the worker, or of all workers without the argument,
// - GET /admin/executions?worker=NAME, which lists the task executions of the worker or of all workers,
// - GET /admin/workers, which lists the workers and their incarnations.
class WorkerBuilding : public RequestHandler {
public:
    // The clock must outlive the building.
    WorkerBuilding(absl::Span<const WorkerName> workers, absl::string_view incarnationPrefix, const Clock& clock,
        const WorkerTiming& timing);
    ~WorkerBuilding() override;
    WorkerBuilding(const WorkerBuilding&) = delete;
    WorkerBuilding& operator=(const WorkerBuilding&) = delete;

    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

private:
    void callWorker(const ServedRequest& request, const std::shared_ptr<Exchange>& exchange);
    HttpResponse administer(const ServedRequest& request);
    HttpResponse setFaults(const ServedRequest& request);
    HttpResponse listExecutions(const ServedRequest& request);
    HttpResponse listWorkers() const;
    // Returns the worker that the request names, or all if it names none; empty if there is no such worker.
    std::vector<WorkerService*> servicesFor(const ServedRequest& request);

    std::map<std::string, std::unique_ptr<WorkerService>, std::less<>> m_services;
    // The largest connection number so far; used by the server's single thread only.
    std::uint64_t m_newestConnection = 0;
};

// Returns the names "BASE-0", "BASE-1" and so on.
std::vector<WorkerName> numberedWorkers(absl::string_view baseName, int count);

// Returns the names of the workers in a VM list, {"vms": [{"worker": NAME, …}]}. Other fields are ignored. InvalidValue
// if the list is malformed.
absl::StatusOr<std::vector<WorkerName>> workersInVmList(absl::string_view text);

} // namespace mangohall
