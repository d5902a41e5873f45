#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// An index of workers by the address that their last rows name. More than one worker is at an address only while the
// list still has one that another has followed there. Not safe to call from several threads.
class AddressIndex {
public:
    // An empty address stands for none.
    void add(absl::string_view address, const WorkerName& worker);
    void remove(absl::string_view address, const WorkerName& worker);
    void clear() { m_workers.clear(); }
    // The workers at the address; valid until the index is changed.
    absl::Span<const WorkerName> workersAt(absl::string_view address) const;

private:
    absl::flat_hash_map<std::string, absl::InlinedVector<WorkerName, 1>> m_workers;
};

} // namespace mangohall::batch
