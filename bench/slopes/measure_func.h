// Functions and classes that take and print measurements. Benchmarks may read the system clocks; product code may not
// and uses the clock port instead.
#pragma once

#include <cstdint>

#include "absl/strings/string_view.h"

namespace mangohall {

// Returns the processor time that this process has used, in seconds.
double processorSeconds();

// Returns the time since an arbitrary fixed point, in seconds.
double wallSeconds();

// Returns the number of allocated bytes on the heap.
double heapBytes();

// One measured value. `size` is the size of the measured input, such as the number of jobs or workers; `name` and
// `subject` imply its unit. `unit` is the unit of `value`.
struct Measurement {
    absl::string_view subject;
    absl::string_view name;
    std::uint64_t seed = 0;
    std::int64_t size = 0;
    double value = 0;
    absl::string_view unit;
};

// Prints the measurement as one JSON line.
void print(const Measurement& measurement);

// Measures the processor time since its construction.
class Stopwatch {
public:
    double seconds() const { return processorSeconds() - m_start; }
    double micros() const;

private:
    double m_start = processorSeconds();
};

// Measures the growth of the heap since its construction, in bytes.
class HeapGrowth {
public:
    double bytes() const { return heapBytes() - m_start; }

private:
    double m_start = heapBytes();
};

} // namespace mangohall
