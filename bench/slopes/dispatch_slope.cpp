// Measures the cost of a building shard by worker, heartbeat, task and idle second.
#include <algorithm>

#include "slopes/dispatch_driver_base.h"
#include "slopes/measure_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int workerCounts[] = { 250, 1000, 4000 };
constexpr int tasksPerWorker = 4;
// Limits the duration of the run; more tasks would add nothing to the measurement.
constexpr int maxTasks = 1000;
constexpr int idleSeconds = 3;

void measureIdle(DispatchDriver& driver, std::uint64_t seed, int workers, bool hasTasks)
{
    const std::int64_t callsBefore = driver.workerCalls();
    const Stopwatch watch;
    driver.advance(absl::Seconds(idleSeconds));
    const double micros = watch.micros();
    const double calls = static_cast<double>(driver.workerCalls() - callsBefore);
    print({ "dispatch", hasTasks ? "processorPerSecondWithTasks" : "processorPerIdleSecond", seed, workers,
        micros / idleSeconds, "us/s" });
    print({ "dispatch", hasTasks ? "processorPerHeartbeatWithTasks" : "processorPerIdleHeartbeat", seed, workers,
        micros / calls, "us/heartbeat" });
    print({ "dispatch", "heartbeatsPerSecond", seed, workers, calls / idleSeconds, "calls/s" });
}

void measureWorkers(std::uint64_t seed, int workers)
{
    const HeapGrowth growth;
    const Stopwatch joinWatch;
    DispatchDriver driver(seed, workers);
    print({ "dispatch", "processorPerWorkerJoined", seed, workers, joinWatch.micros() / workers, "us/worker" });
    print({ "dispatch", "memoryPerWorker", seed, workers, growth.bytes() / workers, "B/worker" });
    measureIdle(driver, seed, workers, false);
    const int tasks = std::min(workers * tasksPerWorker, maxTasks);
    const HeapGrowth taskGrowth;
    const Stopwatch taskWatch;
    for (int index = 0; index < tasks; ++index)
        driver.runTask(index);
    print({ "dispatch", "processorPerTaskStarted", seed, workers, taskWatch.micros() / tasks, "us/task" });
    print({ "dispatch", "memoryPerTask", seed, workers, taskGrowth.bytes() / tasks, "B/task" });
    measureIdle(driver, seed, workers, true);
}

} // namespace

void measureDispatch(std::uint64_t seed)
{
    for (const int workers : workerCounts)
        measureWorkers(seed, workers);
}

} // namespace mangohall
