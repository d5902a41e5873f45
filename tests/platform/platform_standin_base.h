#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "batch/batch_store_base.h"
#include "batch/simulated_workers_base.h"
#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"
#include "standins/http_server_base.h"

namespace mangohall::platform {

// Simulates the platform over loopback HTTP in real time: its store and some workers, each on its own port. It serves
// the simulated store and workers that other tests use with a paused clock. Safe to call from several threads.
class PlatformStandin : private RequestHandler {
public:
    PlatformStandin();
    ~PlatformStandin() override;

    // Serves the store on the port (0 picks a free one) and the given number of workers on free ports, half of them in
    // each of two racks. Writes a manifest with the queues "/urgent/" and "/batch/" of the host "desk.example". Fails
    // if a port cannot be listened on.
    absl::Status start(std::uint16_t storePort, int workers);
    void stop();

    std::uint16_t storePort() const { return m_storeServer.port(); }

    // Adds a worker while the stand-in runs; fails if its port cannot be listened on.
    absl::Status addWorker(const std::string& name, const std::string& rack);
    // Lets a worker drain; it is gone after the time.
    void drainWorker(const std::string& name, absl::Duration after);
    // Writes bytes as the entry of a worker, as another writer may do.
    void putEntryBytes(const std::string& name, const std::string& bytes);
    // Lets a worker write its own entry again, after putEntryBytes().
    void restoreEntry(const std::string& name);

    // Sets how long tasks with the payload run.
    void setRunTime(const std::string& payload, absl::Duration time);
    // Calls the action with the store and the workers, which no other thread uses meanwhile.
    void change(const std::function<void(batch::BatchStore&, batch::SimulatedWorkers&)>& action);
    // The system's time at a time of the simulated workers.
    absl::Time systemTime(absl::Time simulated) const { return m_startedAt + (simulated - m_timelineStart); }
    // How many runs of the job's tasks the workers have started.
    int startCount(const std::string& job);
    // Descriptions of the rules that the workers have seen violated; empty if there was no violation.
    std::vector<std::string> ruleViolations();

private:
    // The HTTP server of one worker.
    class WorkerServer : public RequestHandler {
    public:
        WorkerServer(PlatformStandin& platform, std::string name)
            : m_platform(platform)
            , m_name(std::move(name))
            , m_server(*this)
        {
        }

        void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;
        HttpServer& server() { return m_server; }

    private:
        PlatformStandin& m_platform;
        // The worker's name.
        const std::string m_name;
        HttpServer m_server;
    };

    // Handles requests to the store.
    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;
    // Runs the timeline's actions that are due by now.
    void advanceTimeline() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Advances the timeline whenever an action is due, until the stand-in stops. Runs on its own thread.
    void runTimeline();

    absl::Mutex m_mutex;
    // Signalled when a request may have added an action to the timeline, and when the stand-in stops.
    absl::CondVar m_changed;
    Timeline m_timeline ABSL_GUARDED_BY(m_mutex);
    // The system's time and the timeline's time at construction; both advance together from there.
    const absl::Time m_startedAt;
    const absl::Time m_timelineStart;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    batch::BatchStore m_store ABSL_GUARDED_BY(m_mutex);
    batch::SimulatedWorkers m_workers ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    HttpServer m_storeServer;
    // The workers' own entries that other bytes have replaced.
    std::map<std::string, batch::RecordValue> m_replacedEntries ABSL_GUARDED_BY(m_mutex);
    std::vector<std::unique_ptr<WorkerServer>> m_workerServers;
    std::thread m_timelineThread;
};

} // namespace mangohall::platform
