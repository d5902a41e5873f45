// Rows of the worker list for tests.
#pragma once

#include "absl/strings/string_view.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// A row of a worker with 8 accelerators whose process started at 1,000 ms.
inline WorkerEntry makeWorkerEntry(absl::string_view name)
{
    WorkerEntry entry;
    entry.name = WorkerName(name);
    entry.address = std::string(name);
    entry.capacity = { 1000, 1000, 8 };
    entry.processStartMs = 1000;
    return entry;
}

} // namespace mangohall::batch
