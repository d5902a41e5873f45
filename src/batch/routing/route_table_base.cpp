#include "batch/routing/route_table_base.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace mangohall::batch {

namespace {

// The host without the port.
absl::string_view withoutPort(absl::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

RouteTable::RouteTable(Manifest manifest)
    : m_manifest(std::move(manifest))
{
    for (const OrganisationSpec& organisation : m_manifest.organisations) {
        m_guaranteeByOrganisation[organisation.name.str()] = organisation.guaranteedAccelerators;
        for (const std::string& key : organisation.apiKeys)
            m_organisationByKey.emplace(key, organisation.name);
    }
}

const QueueSpec* RouteTable::match(absl::string_view host, absl::string_view path) const
{
    const QueueSpec* longest = nullptr;
    for (const QueueSpec& queue : m_manifest.queues) {
        if (!absl::EqualsIgnoreCase(withoutPort(host), queue.host) || !absl::StartsWith(path, queue.pathPrefix))
            continue;
        if (longest == nullptr || queue.pathPrefix.size() > longest->pathPrefix.size())
            longest = &queue;
    }
    return longest;
}

absl::optional<OrganisationName> RouteTable::organisationOf(absl::string_view apiKey) const
{
    const auto found = m_organisationByKey.find(apiKey);
    if (found == m_organisationByKey.end())
        return absl::nullopt;
    return found->second;
}

std::int32_t RouteTable::guaranteedAccelerators(const OrganisationName& organisation) const
{
    const auto found = m_guaranteeByOrganisation.find(organisation.text());
    return found == m_guaranteeByOrganisation.end() ? 0 : found->second;
}

} // namespace mangohall::batch
