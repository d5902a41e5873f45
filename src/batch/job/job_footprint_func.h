// How much memory a job takes.
#pragma once

#include <cstdint>

#include "batch/job/job_type.h"

namespace mangohall::batch {

// The memory that jobs may take at the owner unless the settings say otherwise, in bytes.
inline constexpr std::int64_t defaultJobMemoryBytes = std::int64_t { 32 } << 20U;

// The bytes that a placed task takes at the owner beyond those of its job: its progress and its run.
inline constexpr std::int64_t taskFootprintBytes = 512;

// The most bytes that the job takes at the owner as long as none of its tasks was placed: what it consists of, its
// progress with all its occurrences open, and its part of an allocation round. Holds for every node of a version, as it
// depends on the specification alone.
std::int64_t jobFootprint(const JobSpec& spec);

} // namespace mangohall::batch
