#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "batch/batch_fleet_base.h"
#include "batch/batch_store_base.h"
#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"
#include "standins/http_server_base.h"

namespace mangohall::platform {

// The platform over loopback: its store and some workers, each on a port of its own, in real time. It serves the same
// store and workers that tests drive on the paused clock.
class PlatformStandin : private RequestHandler {
public:
    PlatformStandin();
    ~PlatformStandin() override;

    // Serves the store on the port (0 picks one) and as many workers on ports of their own, half of them on each of two
    // racks, and writes the manifest of the queues "/urgent/" and "/batch/" of "desk.example".
    absl::Status start(std::uint16_t storePort, int workers);
    void stop();

    std::uint16_t storePort() const { return m_storeServer.port(); }

    // How long tasks with the payload run.
    void setRunTime(const std::string& payload, absl::Duration time);
    int startCount(const std::string& job);
    // Rules that the workers saw broken.
    std::vector<std::string> broken();

private:
    // The server of one worker.
    class WorkerDoor : public RequestHandler {
    public:
        WorkerDoor(PlatformStandin& platform, std::string name)
            : m_platform(platform)
            , m_name(std::move(name))
            , m_server(*this)
        {
        }

        void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;
        HttpServer& server() { return m_server; }

    private:
        PlatformStandin& m_platform;
        const std::string m_name;
        HttpServer m_server;
    };

    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;
    // Moves the timeline on to the present.
    void catchUp() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void keepTime();

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    Timeline m_timeline ABSL_GUARDED_BY(m_mutex);
    const absl::Time m_startedAt;
    const absl::Time m_timelineStart;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    batch::BatchStore m_store ABSL_GUARDED_BY(m_mutex);
    batch::BatchFleet m_fleet ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    HttpServer m_storeServer;
    std::vector<std::unique_ptr<WorkerDoor>> m_doors;
    std::thread m_timeThread;
};

} // namespace mangohall::platform
