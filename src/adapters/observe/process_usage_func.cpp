#include "adapters/observe/process_usage_func.h"

#include <sys/resource.h>

namespace mangohall {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double bytesPerKibibyte = 1024;

rusage usageOfProcess()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage;
}

double toSeconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

} // namespace

double processorSeconds()
{
    const rusage usage = usageOfProcess();
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

double peakMemoryBytes()
{
    return static_cast<double>(usageOfProcess().ru_maxrss) * bytesPerKibibyte;
}

} // namespace mangohall
