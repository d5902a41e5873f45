#pragma once

#include <cstdint>

namespace mangohall {

// An amount of resources: what a worker has, or what a task requests or uses.
struct Resources {
    // Processor capacity, in thousandths of a core.
    std::int64_t cpuMillis = 0;
    // Memory, in bytes.
    std::int64_t memoryBytes = 0;
    std::int32_t accelerators = 0;

    friend bool operator==(const Resources&, const Resources&) = default;

    Resources& operator+=(const Resources& other)
    {
        cpuMillis += other.cpuMillis;
        memoryBytes += other.memoryBytes;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        cpuMillis -= other.cpuMillis;
        memoryBytes -= other.memoryBytes;
        accelerators -= other.accelerators;
        return *this;
    }

    // Whether a request of this size fits into the available resources.
    bool fitsInto(const Resources& available) const
    {
        return cpuMillis <= available.cpuMillis && memoryBytes <= available.memoryBytes
            && accelerators <= available.accelerators;
    }
};

} // namespace mangohall
