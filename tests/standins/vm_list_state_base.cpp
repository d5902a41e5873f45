#include "standins/vm_list_state_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

VmListState::VmListState(absl::Span<const VmEntry> vms)
{
    for (const VmEntry& vm : vms)
        m_versions[vm.worker].push_back({ absl::InfinitePast(), vm, false });
}

std::vector<VmEntry> VmListState::list(const DataCentreName& dataCentre, absl::Time at) const
{
    std::vector<VmEntry> vms;
    for (const auto& entry : m_versions) {
        const std::vector<VmVersion>& versions = entry.second;
        const auto isSince = [at](const VmVersion& version) { return version.since <= at; };
        const auto version = std::find_if(versions.rbegin(), versions.rend(), isSince);
        if (version == versions.rend() || version->isGone)
            continue;
        if (dataCentre.empty() || version->vm.dataCentre == dataCentre)
            vms.push_back(version->vm);
    }
    return vms;
}

absl::Status VmListState::change(const WorkerName& worker, const VmChange& change, absl::Time now)
{
    const auto found = m_versions.find(worker);
    if (found == m_versions.end())
        return makeError(ErrorKind::NotFound, absl::StrCat("there is no VM ", worker.text()));
    VmVersion version = found->second.back();
    version.since = now;
    version.vm.isLeaving = change.isLeaving.value_or(version.vm.isLeaving);
    version.vm.address = change.address.value_or(version.vm.address);
    version.isGone = change.isGone.value_or(version.isGone);
    found->second.push_back(std::move(version));
    return absl::OkStatus();
}

} // namespace mangohall
