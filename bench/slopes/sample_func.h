// Typical jobs, workers and directories, the same in every subject.
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
// A middling payload and answer of a task.
inline constexpr std::size_t samplePayloadBytes = 200;
inline constexpr std::size_t sampleResultBytes = 100;

// The instant at which every bench stands.
absl::Time sampleNow();
// A clock that stands there.
const Clock& sampleClock();

JobKey sampleKey(int index);
JobSpec sampleSpec(int tasks);
ShardName sampleShard(int index);
std::vector<TaskPlacement> samplePlacement(const ShardName& shard, int firstTask, int tasks);
TaskReport sampleReport(const JobKey& job, int attempt, int index, TaskState state);

// Workers of one shard, rack by rack.
std::vector<VmEntry> sampleVms(int shard, int workers);

// A directory of so many schedulers and building shards. The first member is "scheduler-000".
Directory sampleDirectory(int members, int shards, int workersPerShard);

} // namespace mangohall
