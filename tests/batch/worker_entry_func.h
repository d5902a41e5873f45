// A worker as the worker list shows it.
#pragma once

#include "absl/strings/string_view.h"
#include "batch/fleet/worker_type.h"

namespace mangohall::batch {

// Has 8 accelerators, and its process started at 1,000 ms.
inline WorkerEntry makeWorkerEntry(absl::string_view name)
{
    WorkerEntry entry;
    entry.name = WorkerName(name);
    entry.address = std::string(name);
    entry.capacity = { 1000, 1000, 8 };
    entry.bornMs = 1000;
    return entry;
}

} // namespace mangohall::batch
