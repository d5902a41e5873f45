#include "batch/node/node_base.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "batch/caller/caller_part_base.h"
#include "batch/node/directory_part_base.h"
#include "batch/owner/owner_part_base.h"

namespace mangohall::batch {

Node::Node(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy)
{
    m_parts.push_back(std::make_unique<DirectoryPart>(settings));
    m_parts.push_back(std::make_unique<OwnerPart>(settings, clock, std::move(policy)));
    for (std::size_t callerPart = 0; callerPart < std::max<std::size_t>(1, settings.callerPartCount); ++callerPart)
        m_parts.push_back(std::make_unique<CallerPart>(settings));
}

PartIndex Node::callerPartFor(absl::string_view path) const
{
    const std::size_t callerPartCount = m_parts.size() - firstCallerPart;
    return firstCallerPart + absl::Hash<absl::string_view>()(path) % callerPartCount;
}

} // namespace mangohall::batch
