// The slope benchmarks, which measure how costs grow with the size of the input. Each prints its measurements.
#pragma once

#include <cstdint>

namespace mangohall {

// Cost of a ledger shard per job and per retained job record.
void measureLedger(std::uint64_t seed);
// Cost of a building shard per worker, heartbeat, task and second.
void measureDispatch(std::uint64_t seed);
// Cost of a placement decision by number of workers.
void measurePlacement(std::uint64_t seed);
// Cost of the declared configuration per object, change and member.
void measureConfiguration(std::uint64_t seed);
// Decision rate of a scheduler by number of parts, and the cost of an event by number of members.
void measureParts(std::uint64_t seed);
// Sizes of messages and the time to encode them.
void measureMessages(std::uint64_t seed);

} // namespace mangohall
