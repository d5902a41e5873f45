#pragma once

#include <map>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "worker/worker_type.h"

namespace mangohall {

// A change of one VM. Fields that are not set stay as they are.
struct VmChange {
    absl::optional<bool> isLeaving;
    absl::optional<bool> isGone;
    absl::optional<std::string> address;
};

// The VMs of a building and their history, so that a list can show an earlier state.
class VmListState {
public:
    explicit VmListState(absl::Span<const VmEntry> vms);

    // Returns the VMs of a data centre as they were at the time; of all data centres if the name is empty.
    std::vector<VmEntry> list(const DataCentreName& dataCentre, absl::Time at) const;

    // Changes a VM. NotFound if there has never been such a VM.
    absl::Status change(const WorkerName& worker, const VmChange& change, absl::Time now);

private:
    // The state of a VM from a time on.
    struct VmVersion {
        absl::Time since;
        VmEntry vm;
        bool isGone = false;
    };

    std::map<WorkerName, std::vector<VmVersion>> m_versions;
};

} // namespace mangohall
