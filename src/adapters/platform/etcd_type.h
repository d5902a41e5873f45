// Parsed responses of the JSON gateway of etcd, with keys and values as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/name_type.h"

namespace mangohall {

// An entry, or a change in a watch message.
struct EtcdKeyValue {
    std::string key;
    std::string value;
    Revision modRevision = 0;
    // Only in a watch message: the key was deleted.
    bool isDeleted = false;
};

// A response or one message of a watch. Fields that it does not contain keep their defaults.
struct EtcdResponse {
    // The revision of the store when it responded.
    Revision revision = 0;
    std::vector<EtcdKeyValue> keyValues;
    // Only for a transaction: whether the comparison was true.
    bool isSucceeded = false;
    // Only for a lease call: the ID of the lease and its remaining time, which is 0 for an expired lease.
    std::int64_t lease = 0;
    std::int64_t timeToLiveSeconds = 0;
    // Only in a watch message: the store has confirmed the watch, or has cancelled it. The compact revision is 0 unless
    // the requested revision has been compacted.
    bool isCreated = false;
    bool isCancelled = false;
    Revision compactRevision = 0;
};

} // namespace mangohall
