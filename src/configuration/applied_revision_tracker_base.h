// Tracks the configuration revision that each node has applied.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/name_type.h"
#include "membership/directory_type.h"

namespace mangohall {

// Keeps the newest revision that each node has reported. A revision is active in the whole system once every live
// member has reported it or a later one.
class AppliedRevisionTracker {
public:
    // Records that the node has applied the revision.
    void recordReport(const NodeName& node, Revision revision);
    // Removes the report of a node that has restarted and has to report again.
    void removeNode(const NodeName& node);
    // Removes the reports of nodes that are not members.
    void retainMembers(const Directory& directory);
    // The live members that have not reported the revision yet, in the order of names.
    std::vector<NodeName> lagging(const Directory& directory, Revision revision) const;
    // The largest revision that any node has reported; 0 if there is no report.
    Revision newest() const;

private:
    absl::flat_hash_map<NodeName, Revision> m_reported;
};

} // namespace mangohall
