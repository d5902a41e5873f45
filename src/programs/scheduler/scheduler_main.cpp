// Main program of a scheduler, which owns shards: it queues and places jobs, starts their tasks, reclaims guaranteed
// capacity and recovers after failures.
#include "adapters/observe/metrics_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "node/node_factory_func.h"
#include "programs/server/node_process_base.h"
#include "programs/server/server_program_func.h"

namespace mangohall {
namespace {

// Owns a scheduler's node process together with its clock and metrics.
class SchedulerProcess : public ServerProcess {
public:
    explicit SchedulerProcess(const Settings& settings)
        : m_metrics(m_clock)
        , m_process(settings, makeSchedulerNode(nodeSettingsOf(settings), settings.seed, m_clock), nullptr, m_clock,
              m_metrics)
    {
    }

    absl::Status start() override { return m_process.start(); }
    bool drain(absl::Duration timeout) override { return m_process.drain(timeout); }
    void stop() override { m_process.stop(); }

private:
    const SystemClock m_clock;
    Metrics m_metrics;
    NodeProcess m_process;
};

std::unique_ptr<ServerProcess> makeProcess(const Settings& settings)
{
    return std::make_unique<SchedulerProcess>(settings);
}

} // namespace
} // namespace mangohall

int main(int argc, char** argv)
{
    const mangohall::ServerProgram program { "mangohall-scheduler", mangohall::NodeRole::Scheduler,
        mangohall::makeProcess };
    return mangohall::runServerProgram({ argv, static_cast<std::size_t>(argc) }, program);
}
