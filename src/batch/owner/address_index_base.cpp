#include "batch/owner/address_index_base.h"

#include <algorithm>

namespace mangohall::batch {

void AddressIndex::add(absl::string_view address, const WorkerName& worker)
{
    if (!address.empty())
        m_workers[std::string(address)].push_back(worker);
}

void AddressIndex::remove(absl::string_view address, const WorkerName& worker)
{
    const auto found = m_workers.find(address);
    if (found == m_workers.end())
        return;
    auto& workers = found->second;
    workers.erase(std::remove(workers.begin(), workers.end(), worker), workers.end());
    if (workers.empty())
        m_workers.erase(found);
}

absl::Span<const WorkerName> AddressIndex::workersAt(absl::string_view address) const
{
    const auto found = m_workers.find(address);
    return found == m_workers.end() ? absl::Span<const WorkerName>() : absl::MakeConstSpan(found->second);
}

} // namespace mangohall::batch
