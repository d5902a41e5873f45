// The records that nodes keep in the store, as JSON.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// Encodes a record that nodes write: jobs, cancellations, progress, counts, holders and epochs.
std::string encodeRecord(const RecordValue& value);

// Decodes a record of a collection that nodes write. MalformedBody for bytes that no node has written.
absl::StatusOr<RecordValue> decodeRecord(Collection collection, absl::string_view bytes);

} // namespace mangohall::batch
