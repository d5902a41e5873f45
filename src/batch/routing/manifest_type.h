// The operators' manifest: which queues there are, where they lead, and who may call them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "batch/job/job_type.h"

namespace mangohall::batch {

// The version that operators give a manifest. It only rises.
using ManifestVersion = std::int64_t;

struct QueueSpec {
    QueueName name;
    // The host and the beginning of the path that lead to the queue.
    std::string host;
    std::string pathPrefix;
    ServiceName service;
    QueueTerms terms;
    // Callers need no key.
    bool isPublic = false;

    friend bool operator==(const QueueSpec&, const QueueSpec&) = default;
};

struct OrganisationSpec {
    OrganisationName name;
    std::vector<std::string> apiKeys;
    // Accelerators that are the organisation's at all times for its most urgent jobs.
    std::int32_t guaranteedAccelerators = 0;

    friend bool operator==(const OrganisationSpec&, const OrganisationSpec&) = default;
};

struct Manifest {
    ManifestVersion version = 0;
    std::vector<QueueSpec> queues;
    std::vector<OrganisationSpec> organisations;
    // The largest body that a caller may send.
    std::size_t maxBodyBytes = 262144;

    friend bool operator==(const Manifest&, const Manifest&) = default;
};

} // namespace mangohall::batch
