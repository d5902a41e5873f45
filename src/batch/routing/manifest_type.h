// The operators' manifest: the queues, the services that they belong to, and the organisations with their API keys.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "batch/job/job_type.h"

namespace mangohall::batch {

// The version that operators give to a manifest. Each new manifest has a larger one.
using ManifestVersion = std::int64_t;

// One queue of the manifest.
struct QueueSpec {
    QueueName name;
    // The queue receives the requests with this host, without regard to case, and this beginning of the path.
    std::string host;
    std::string pathPrefix;
    // The service whose workers run the queue's jobs.
    ServiceName service;
    QueueTerms terms;
    // Callers need no API key.
    bool isPublic = false;

    friend bool operator==(const QueueSpec&, const QueueSpec&) = default;
};

// One organisation of the manifest.
struct OrganisationSpec {
    OrganisationName name;
    std::vector<std::string> apiKeys;
    // The number of accelerators that are guaranteed to the organisation's most urgent jobs at all times.
    std::int32_t guaranteedAccelerators = 0;

    friend bool operator==(const OrganisationSpec&, const OrganisationSpec&) = default;
};

// The whole manifest.
struct Manifest {
    ManifestVersion version = 0;
    std::vector<QueueSpec> queues;
    std::vector<OrganisationSpec> organisations;
    // The largest request body that a caller may send, in bytes.
    std::size_t maxBodyBytes = 262144;

    friend bool operator==(const Manifest&, const Manifest&) = default;
};

} // namespace mangohall::batch
