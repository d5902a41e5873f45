#include "programs/server/standard_descriptor_func.h"

#include <fcntl.h>
#include <unistd.h>

namespace mangohall {

void reserveStandardDescriptors()
{
    // The system gives out the smallest free number, so the loop ends with the first number that is no standard stream.
    int descriptor = ::open("/dev/null", O_RDWR);
    while (descriptor >= 0 && descriptor <= STDERR_FILENO)
        descriptor = ::open("/dev/null", O_RDWR);
    if (descriptor >= 0)
        ::close(descriptor);
}

} // namespace mangohall
