// JSON encoding of the records that nodes write to the store.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// Encodes a record as JSON text. Nodes write jobs, cancellations, progress, queue counts, holders and epochs; any other
// record is encoded as null.
std::string encodeRecord(const RecordValue& value);

// Decodes a record of a collection that nodes write. Fails with MalformedBody if the bytes are not JSON or a field has
// the wrong type or an unknown value, with the error of `checkSpec` if a job is invalid, and with Internal for a
// collection that nodes do not write.
absl::StatusOr<RecordValue> decodeRecord(Collection collection, absl::string_view bytes);

} // namespace mangohall::batch
