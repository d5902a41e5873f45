#pragma once

#include <cstdint>

namespace mangohall {

// What a worker offers or a task uses.
struct Resources {
    std::int64_t cpuMillis = 0;
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

    // Whether a demand of this size fits into what is free.
    bool fitsInto(const Resources& available) const
    {
        return cpuMillis <= available.cpuMillis && memoryBytes <= available.memoryBytes
            && accelerators <= available.accelerators;
    }
};

} // namespace mangohall
