// Limits of the front end that follow from the memory of the process.
#pragma once

#include <cstddef>

#include "absl/types/optional.h"

namespace mangohall {

// The memory that is assumed for request bodies if the settings name none.
inline constexpr std::size_t defaultMemoryBytes = std::size_t { 256 } << 20U;

// Bytes of unfinished request bodies that a process with this much memory holds at most: a quarter.
constexpr std::size_t bodyBudgetBytesOf(absl::optional<std::size_t> memoryBytes)
{
    return memoryBytes.value_or(defaultMemoryBytes) / 4;
}

// Connections that a process with this much memory accepts: as many as fit into an eighth of it, at least one, and at
// most the configured number; the configured number if the memory is unknown.
constexpr std::size_t connectionsOf(
    absl::optional<std::size_t> memoryBytes, std::size_t connectionBytes, std::size_t configuredConnections)
{
    if (!memoryBytes)
        return configuredConnections;
    const std::size_t fitting = *memoryBytes / 8 / connectionBytes;
    const std::size_t bounded = fitting < configuredConnections ? fitting : configuredConnections;
    return bounded == 0 ? 1 : bounded;
}

} // namespace mangohall
