#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "batch/routing/manifest_type.h"

namespace mangohall::batch {

// A manifest with indices for look-ups. It is immutable, so several threads may read it at the same time.
class RouteTable {
public:
    explicit RouteTable(Manifest manifest);

    const Manifest& manifest() const { return m_manifest; }

    // The queue of the host with the longest prefix that the path begins with; null if there is none. A port in `host`
    // is ignored.
    const QueueSpec* match(absl::string_view host, absl::string_view path) const;

    // The organisation that the API key belongs to, or nothing if the key is unknown.
    absl::optional<OrganisationName> organisationOf(absl::string_view apiKey) const;

    // The number of accelerators that are guaranteed to the organisation; 0 for an unknown one.
    std::int32_t guaranteedAccelerators(const OrganisationName& organisation) const;

private:
    const Manifest m_manifest;
    // The organisation by API key.
    absl::flat_hash_map<std::string, OrganisationName> m_organisationByKey;
    // The number of guaranteed accelerators by organisation.
    absl::flat_hash_map<std::string, std::int32_t> m_guaranteeByOrganisation;
};

} // namespace mangohall::batch
