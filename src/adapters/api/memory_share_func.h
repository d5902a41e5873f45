// Limits of the front end that follow from the memory of the process.
#pragma once

#include <cstddef>

namespace mangohall {

// Bytes of unfinished request bodies that a process with this much memory holds at most: a quarter.
constexpr std::size_t bodyBudgetBytesOf(std::size_t memoryBytes)
{
    return memoryBytes / 4;
}

// Connections that a process with this much memory accepts: as many as fit into an eighth of it, at least one, and at
// most the configured number.
constexpr std::size_t connectionsOf(
    std::size_t memoryBytes, std::size_t connectionBytes, std::size_t configuredConnections)
{
    const std::size_t fitting = memoryBytes / 8 / connectionBytes;
    const std::size_t bounded = fitting < configuredConnections ? fitting : configuredConnections;
    return bounded == 0 ? 1 : bounded;
}

} // namespace mangohall
