#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "nlohmann/json.hpp"
#include "ports/clock_port.h"
#include "standins/fault_switches_base.h"
#include "standins/http_server_base.h"
#include "standins/store_json_func.h"
#include "standins/store_state_base.h"

namespace mangohall {

// Numbers of calls to the store. Every change of a lease counts as a write.
struct StoreCallCounts {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t watches = 0;
};

// Serves a StoreState as the etcd v3 gateway does. POST /admin/compact {"revision": N} compacts the history, and
// GET /admin/stats returns the numbers of calls.
class StoreService : public RequestHandler {
public:
    // The clock and the switches must outlive the service. `historyLimit` changes are kept for watches.
    StoreService(const Clock& clock, const FaultSwitches& switches, std::size_t historyLimit);
    ~StoreService() override;
    StoreService(const StoreService&) = delete;
    StoreService& operator=(const StoreService&) = delete;

    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

private:
    // An open watch.
    struct Watch {
        KeyRange range;
        Revision nextRevision = 0;
        std::shared_ptr<Exchange> exchange;
    };
    // Handles one kind of request and returns the body of the answer.
    using Operation = absl::StatusOr<nlohmann::json> (StoreService::*)(const nlohmann::json& body);
    // The operation of a request path. `isWrite` says whether it changes the store.
    struct Route {
        absl::string_view path;
        Operation operation;
        bool isWrite;
    };
    static absl::Span<const Route> routes();

    void serve(const Route& route, const nlohmann::json& body, Exchange& exchange);
    absl::StatusOr<nlohmann::json> readRange(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> commit(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> grantLease(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> keepLeaseAlive(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> revokeLease(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> compact(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::StatusOr<nlohmann::json> stats(const nlohmann::json& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    void openWatch(const nlohmann::json& body, std::shared_ptr<Exchange> exchange);
    // Sends new changes to every watch and removes the watches that are over.
    void sendChangesToWatches() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sends the changes that the watch has not received. Returns false once the watch is over.
    bool sendChanges(Watch& watch) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sends the current revision to every watch, so that connections of clients that have disconnected are detected and
    // closed.
    void sendProgress() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns when the next lease expires or the next progress message is due.
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Expires leases and sends progress messages when they are due. Runs on the timer thread.
    void runTimer();

    const Clock& m_clock;
    const FaultSwitches& m_switches;
    absl::Mutex m_mutex;
    // Signalled when the timer thread may have to wake up earlier.
    absl::CondVar m_scheduleChanged;
    StoreState m_state ABSL_GUARDED_BY(m_mutex);
    std::vector<Watch> m_watches ABSL_GUARDED_BY(m_mutex);
    StoreCallCounts m_counts ABSL_GUARDED_BY(m_mutex);
    absl::Time m_nextProgress ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_timerThread;
};

} // namespace mangohall
