#pragma once

#include <cstdint>

namespace mangohall {

// A source of random numbers. Tests use a fixed seed.
class RandomSource {
public:
    virtual ~RandomSource() = default;

    // A uniformly distributed number from 0 up to, but not including, 1.
    virtual double uniform() = 0;
};

} // namespace mangohall
