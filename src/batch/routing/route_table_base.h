#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "batch/routing/manifest_type.h"

namespace mangohall::batch {

// A manifest prepared for looking up. It never changes, so that several threads may read it.
class RouteTable {
public:
    explicit RouteTable(Manifest manifest);

    const Manifest& manifest() const { return m_manifest; }

    // The queue with the longest prefix that the path begins with on the host; null if there is none.
    const QueueSpec* match(absl::string_view host, absl::string_view path) const;

    // Whose key it is; nothing if nobody's.
    absl::optional<OrganisationName> organisationOf(absl::string_view apiKey) const;

    std::int32_t guaranteedAccelerators(const OrganisationName& organisation) const;

private:
    const Manifest m_manifest;
    absl::flat_hash_map<std::string, OrganisationName> m_organisations;
    absl::flat_hash_map<std::string, std::int32_t> m_guarantees;
};

} // namespace mangohall::batch
