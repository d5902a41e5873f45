#include <algorithm>

#include "configuration/applied_revision_tracker_base.h"

namespace mangohall {

void AppliedRevisionTracker::recordReport(const NodeName& node, Revision revision)
{
    // A report that arrives after a later one is ignored.
    Revision& known = m_reported[node];
    known = std::max(known, revision);
}

void AppliedRevisionTracker::removeNode(const NodeName& node)
{
    m_reported.erase(node);
}

void AppliedRevisionTracker::retainMembers(const Directory& directory)
{
    absl::erase_if(m_reported, [&directory](const auto& entry) { return !directory.members.contains(entry.first); });
}

std::vector<NodeName> AppliedRevisionTracker::lagging(const Directory& directory, Revision revision) const
{
    std::vector<NodeName> laggingNodes;
    for (const auto& [node, member] : directory.members) {
        const auto found = m_reported.find(node);
        if (found == m_reported.end() || found->second < revision)
            laggingNodes.push_back(node);
    }
    std::sort(laggingNodes.begin(), laggingNodes.end());
    return laggingNodes;
}

Revision AppliedRevisionTracker::newest() const
{
    Revision newest = 0;
    for (const auto& [node, revision] : m_reported)
        newest = std::max(newest, revision);
    return newest;
}

} // namespace mangohall
