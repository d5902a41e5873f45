// The declared configuration as a node applies it.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "membership/directory_type.h"
#include "membership/prefix_watch_base.h"

namespace mangohall {

// One change of a declared resource.
struct ConfigChange {
    // The store revision of the change.
    Revision revision = 0;
    // The store key of the resource.
    std::string key;
    // The resource after the change; empty for a deletion.
    absl::optional<ConfigObject> object;
};

// Holds the newest seen revision of each resource. Revisions only grow: a change that arrives late or comes from a
// source that lags is older than the present state and is ignored.
class ConfigurationView {
public:
    // Applies a change. Returns whether the configuration or its revision has changed.
    bool apply(const PrefixChange& change);

    // The store revision of the configuration; 0 before the first change is applied.
    Revision revision() const { return m_revision; }
    // The resource with the store key, or null. The pointer is valid until the next change is applied.
    const ConfigObject* find(absl::string_view key) const;
    // Every resource of the kind, in the order of names.
    std::vector<ConfigObject> list(ConfigKind kind) const;
    // The changes after the revision; nothing if older changes than those retained would be needed.
    absl::optional<std::vector<ConfigChange>> changesAfter(Revision revision) const;

    // Writes the declared resources and their revision into a directory.
    void fill(Directory& directory) const;

private:
    bool applyEntry(const StoreEntry& entry);
    // Removes the resources that are missing from a complete list.
    bool removeMissing(const PrefixChange& change);
    void recordChange(ConfigChange change);

    Revision m_revision = 0;
    // The resources by store key.
    absl::btree_map<std::string, ConfigObject> m_objects;
    // The latest revision at which a key was known to be absent.
    absl::btree_map<std::string, Revision> m_deletedAt;
    // The latest changes, oldest first.
    std::deque<ConfigChange> m_changes;
    // Changes up to this revision are no longer retained.
    Revision m_discardedThrough = 0;
};

} // namespace mangohall
