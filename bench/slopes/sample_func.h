// Typical jobs, workers and directories, shared by all benchmarks of this folder.
#pragma once

#include <vector>

#include "absl/types/span.h"
#include "membership/directory_type.h"
#include "node/peer_message_type.h"
#include "ports/clock_port.h"

namespace mangohall {

inline constexpr int sampleWorkersPerRack = 8;
inline constexpr int sampleAcceleratorsPerWorker = 8;
inline constexpr int sampleOrganisations = 67;
// Sizes of a typical task payload and task result.
inline constexpr std::size_t samplePayloadBytes = 200;
inline constexpr std::size_t sampleResultBytes = 100;

// Returns the simulated time at which the benchmarks begin.
absl::Time sampleNow();
// Returns a clock that always shows sampleNow().
const Clock& sampleClock();

// Returns the key of job number `index`; the organisations take turns.
JobKey sampleKey(int index);
// Returns a job with `tasks` tasks of one accelerator each, on any worker.
JobSpec sampleSpec(int tasks);
ShardName sampleShard(int index);
// Returns a placement of tasks from `firstTask` on that fills the accelerators of one worker after the other.
std::vector<TaskPlacement> samplePlacement(const ShardName& shard, int firstTask, int tasks);
// Returns a worker's report of one task, with a result if it has succeeded.
TaskReport sampleReport(const JobKey& job, int attempt, int index, TaskState state);

// Returns the workers of one shard, rack by rack.
std::vector<VmEntry> sampleVms(int shard, int workers);

// Returns a directory with `members` schedulers and `shards` building shards. The first scheduler is "scheduler-000".
Directory sampleDirectory(int members, int shards, int workersPerShard);

} // namespace mangohall
