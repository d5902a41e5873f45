// Resource usage of the process.
#pragma once

namespace mangohall {

// The processor time in user and kernel mode that the process has used since its start, in seconds.
double processorSeconds();

// The peak resident memory of the process, in bytes.
double peakMemoryBytes();

} // namespace mangohall
