// A random source that is determined by a seed.
#pragma once

#include <cstdint>
#include <random>

#include "ports/random_port.h"

namespace mangohall {

// Two sources with the same seed yield the same numbers. Not safe to call from several threads.
class SeededRandom : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    double uniform() override { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

private:
    std::mt19937_64 m_engine;
};

} // namespace mangohall
