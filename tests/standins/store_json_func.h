// Reads requests and writes responses in the published JSON format of the etcd v3 gateway.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "nlohmann/json.hpp"
#include "standins/http_server_base.h"
#include "standins/store_state_base.h"

namespace mangohall {

// A request to open a watch.
struct WatchCreation {
    KeyRange range;
    // The first revision to send; 0 for changes from now on.
    Revision startRevision = 0;
};

// Each of these three returns InvalidValue if the request is malformed or uses an unsupported feature.
absl::StatusOr<KeyRange> keyRangeFromJson(const nlohmann::json& object);
absl::StatusOr<StoreTransaction> transactionFromJson(const nlohmann::json& object);
absl::StatusOr<WatchCreation> watchCreationFromJson(const nlohmann::json& object);
// Reads a 64-bit number that is given as a string or as a number. Returns 0 if it is absent.
std::int64_t int64FromJson(const nlohmann::json& object, const char* name);

// Each of these functions writes a response or a part of it; `revision` is the current revision of the store.
nlohmann::json headerToJson(Revision revision);
nlohmann::json rangeToJson(absl::Span<const StoredKey> keys, Revision revision);
nlohmann::json transactionToJson(
    bool isSucceeded, const StoreTransaction& transaction, absl::Span<const StoredKey> present, Revision revision);
nlohmann::json leaseToJson(const StoredLease& lease, Revision revision);
nlohmann::json changesToJson(absl::Span<const StoredChange> changes, Revision revision);

// Makes the response to a request that the store refuses.
HttpResponse storeErrorResponse(const absl::Status& status);

} // namespace mangohall
