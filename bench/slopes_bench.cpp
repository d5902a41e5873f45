// Measures the slopes of the decision code: the cost of each job, task, worker, message and change, in one process and
// in simulated time. Prints one JSON line for each measurement. The arguments are the seeds; the default is 1.
#include <cstdlib>
#include <vector>

#include "slopes/slopes_func.h"

int main(int argumentCount, char** arguments)
{
    std::vector<std::uint64_t> seeds;
    for (int index = 1; index < argumentCount; ++index)
        seeds.push_back(std::strtoull(arguments[index], nullptr, 10));
    if (seeds.empty())
        seeds.push_back(1);
    for (const std::uint64_t seed : seeds) {
        mangohall::measureMessages(seed);
        mangohall::measurePlacement(seed);
        mangohall::measureConfiguration(seed);
        mangohall::measureLedger(seed);
        mangohall::measureParts(seed);
        mangohall::measureDispatch(seed);
    }
    return 0;
}
