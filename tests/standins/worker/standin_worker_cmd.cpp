// The stand-in for the platform's workers.
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "boost/program_options.hpp"
#include "programs/server/stop_signal_func.h"
#include "standins/real_clock_base.h"
#include "standins/standin_main_func.h"
#include "standins/worker/worker_building_base.h"

namespace mangohall {
namespace {

constexpr absl::string_view program = "standin-worker";
constexpr int exitUsage = 2;
constexpr int maxWorkers = 20000;

// The command-line options besides those of every stand-in.
struct WorkerOptions {
    int workers = 1;
    std::string baseName = "worker";
    std::string building;
    std::int64_t checkpointDelayMs = absl::ToInt64Milliseconds(WorkerTiming().checkpointDelay);
    std::int64_t usageLagMs = absl::ToInt64Milliseconds(WorkerTiming().usageLag);
};

boost::program_options::options_description describe(WorkerOptions& target)
{
    using boost::program_options::value;
    boost::program_options::options_description programOptions("Workers");
    auto add = programOptions.add_options();
    add("workers", value(&target.workers)->default_value(target.workers), "number of workers to simulate");
    add("base-name", value(&target.baseName)->default_value(target.baseName),
        "the workers are named BASE-0, BASE-1, …");
    add("building", value(&target.building), "file with the VM list that names the workers, instead of the two above");
    add("checkpoint-delay-ms", value(&target.checkpointDelayMs)->default_value(target.checkpointDelayMs),
        "time a checkpoint takes");
    add("usage-lag-ms", value(&target.usageLagMs)->default_value(target.usageLagMs),
        "time until the usage of a task is reported");
    return programOptions;
}

absl::StatusOr<std::vector<WorkerName>> readWorkers(const WorkerOptions& options)
{
    if (options.building.empty()) {
        if (options.workers < 1 || options.workers > maxWorkers)
            return absl::InvalidArgumentError(absl::StrCat("--workers must be 1 to ", maxWorkers));
        return numberedWorkers(options.baseName, options.workers);
    }
    std::ifstream file(options.building);
    if (!file)
        return absl::NotFoundError(absl::StrCat("cannot read ", options.building));
    std::ostringstream text;
    text << file.rdbuf();
    return workersInVmList(text.str());
}

int run(int argc, const char* const* argv)
{
    WorkerOptions options;
    StandinOptions common;
    boost::program_options::variables_map values;
    int exitCode = 0;
    if (!readCommandLine(argc, argv, program, describe(options), common, values, exitCode))
        return exitCode;
    const absl::StatusOr<std::vector<WorkerName>> workers = readWorkers(options);
    if (!workers.ok()) {
        std::cerr << program << ": " << workers.status().message() << '\n';
        return exitUsage;
    }
    blockSignals(stopSignals());
    const RealClock clock;
    const WorkerTiming timing { absl::Milliseconds(options.checkpointDelayMs), absl::Milliseconds(options.usageLagMs) };
    // The start time makes incarnation names differ between runs of the process.
    const std::string prefix = absl::StrCat(absl::ToUnixMicros(clock.now()));
    WorkerBuilding building(*workers, prefix, clock, timing);
    HttpServer server(building);
    return serveUntilTerminated(server, program, common);
}

} // namespace
} // namespace mangohall

int main(int argc, char** argv)
{
    try {
        return mangohall::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin-worker: " << error.what() << '\n';
        return 1;
    }
}
