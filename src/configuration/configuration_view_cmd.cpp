#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "configuration/configuration_func.h"
#include "configuration/configuration_view_base.h"

namespace mangohall {

namespace {

// The maximum number of changes that a watch may be behind when it is resumed.
constexpr std::size_t maxRetainedChanges = 10000;

// Visits a declared resource and adds it to the directory.
class DirectoryFiller {
public:
    explicit DirectoryFiller(Directory& directory)
        : m_directory(directory)
    {
    }

    void operator()(const Organisation& spec) { m_directory.organisations.emplace(spec.name, spec); }
    void operator()(const Guarantee& spec) { m_directory.guarantees.emplace(spec.name, spec); }
    void operator()(const Service& spec) { m_directory.services.emplace(spec.name, spec); }
    void operator()(const Drain& spec) { m_directory.drains.push_back(spec); }
    void operator()(const Policy& spec) { m_directory.policy = spec; }
    void operator()(const ShardSpec& spec) { m_directory.shards.push_back(spec); }

private:
    Directory& m_directory;
};

} // namespace

bool ConfigurationView::apply(const PrefixChange& change)
{
    if (change.revision < m_revision)
        return false;
    const bool isFirstChange = m_revision == 0;
    bool isChanged = false;
    for (const StoreEntry& entry : change.entries)
        isChanged = applyEntry(entry) || isChanged;
    if (change.isWhole)
        isChanged = removeMissing(change) || isChanged;
    isChanged = isChanged || change.revision > m_revision;
    m_revision = change.revision;
    if (isFirstChange) {
        // The first list does not contain earlier deletions, so no watch may resume from before it.
        m_changes.clear();
        m_discardedThrough = m_revision;
    }
    return isChanged;
}

bool ConfigurationView::applyEntry(const StoreEntry& entry)
{
    const auto present = m_objects.find(entry.key);
    const auto deleted = m_deletedAt.find(entry.key);
    const Revision known = std::max(
        present == m_objects.end() ? 0 : present->second.revision, deleted == m_deletedAt.end() ? 0 : deleted->second);
    if (entry.modRevision <= known)
        return false;
    if (entry.isDeleted) {
        m_objects.erase(entry.key);
        m_deletedAt[entry.key] = entry.modRevision;
        recordChange({ entry.modRevision, entry.key, absl::nullopt });
        return true;
    }
    const auto* object = std::get_if<ConfigObject>(&entry.value);
    if (object == nullptr)
        return false;
    ConfigObject fresh = *object;
    fresh.revision = entry.modRevision;
    m_objects.insert_or_assign(entry.key, fresh);
    m_deletedAt.erase(entry.key);
    recordChange({ entry.modRevision, entry.key, fresh });
    return true;
}

bool ConfigurationView::removeMissing(const PrefixChange& change)
{
    absl::flat_hash_set<absl::string_view> listed;
    for (const StoreEntry& entry : change.entries)
        listed.insert(entry.key);
    std::vector<std::string> missing;
    for (const auto& [key, object] : m_objects) {
        if (!listed.contains(key) && object.revision <= change.revision)
            missing.push_back(key);
    }
    for (const std::string& key : missing) {
        m_objects.erase(key);
        m_deletedAt[key] = change.revision;
        recordChange({ change.revision, key, absl::nullopt });
    }
    return !missing.empty();
}

void ConfigurationView::recordChange(ConfigChange change)
{
    m_changes.push_back(std::move(change));
    while (m_changes.size() > maxRetainedChanges) {
        m_discardedThrough = m_changes.front().revision;
        m_changes.pop_front();
    }
}

const ConfigObject* ConfigurationView::find(absl::string_view key) const
{
    const auto found = m_objects.find(std::string(key));
    return found == m_objects.end() ? nullptr : &found->second;
}

std::vector<ConfigObject> ConfigurationView::list(ConfigKind kind) const
{
    std::vector<ConfigObject> objects;
    for (const auto& [key, object] : m_objects) {
        if (kindOf(object.spec) == kind)
            objects.push_back(object);
    }
    return objects;
}

absl::optional<std::vector<ConfigChange>> ConfigurationView::changesAfter(Revision revision) const
{
    if (revision < m_discardedThrough)
        return absl::nullopt;
    std::vector<ConfigChange> changes;
    for (const ConfigChange& change : m_changes) {
        if (change.revision > revision)
            changes.push_back(change);
    }
    return changes;
}

void ConfigurationView::fill(Directory& directory) const
{
    DirectoryFiller filler(directory);
    for (const auto& [key, object] : m_objects)
        std::visit(filler, object.spec);
    directory.configRevision = m_revision;
}

} // namespace mangohall
