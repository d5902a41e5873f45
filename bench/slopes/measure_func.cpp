#include "slopes/measure_func.h"

#include <malloc.h>

#include <ctime>

#include "absl/strings/str_format.h"

namespace mangohall {

namespace {

constexpr double nanosPerSecond = 1e9;
constexpr double microsPerSecond = 1e6;

double readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosPerSecond;
}

} // namespace

double processorSeconds()
{
    return readClock(CLOCK_PROCESS_CPUTIME_ID);
}

double wallSeconds()
{
    return readClock(CLOCK_MONOTONIC);
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double Stopwatch::micros() const
{
    return seconds() * microsPerSecond;
}

void print(const Measurement& measurement)
{
    absl::PrintF("{\"subject\":\"%s\",\"figure\":\"%s\",\"seed\":%d,\"size\":%d,\"value\":%.3f,\"unit\":\"%s\"}\n",
        measurement.subject, measurement.name, measurement.seed, measurement.size, measurement.value, measurement.unit);
}

} // namespace mangohall
