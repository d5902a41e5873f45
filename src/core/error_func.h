// Errors as absl::Status values with an ErrorKind as payload.
#pragma once

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "core/error_type.h"
#include "core/table/error_table.h"

namespace mangohall {

// The table row of a kind. Every kind has a row, which a unit test checks.
const ErrorRow& errorRow(ErrorKind kind);

// The name of a kind as callers see it, for example "neverFits".
absl::string_view errorName(ErrorKind kind);

// The kind with this name; nothing if there is none.
absl::optional<ErrorKind> errorKindFromName(absl::string_view name);

// The name of the value as callers see it: "ran", "notRun" or "unknown".
absl::string_view executionName(Execution execution);

// Creates a status of this kind. The kind None gives an OK status without the message.
absl::Status makeError(ErrorKind kind, absl::string_view message);

// Adds to the status, which is not OK, that the request which it ends was not sent, so that it has no effect.
absl::Status markNotSent(absl::Status status);
bool isNotSent(const absl::Status& status);

// Adds to the status, which is not OK, how long the sender itself was late: to send the request, or to read what had
// arrived for it by its deadline.
absl::Status markSenderDelay(absl::Status status, absl::Duration delay);
// Zero unless `markSenderDelay` has added more.
absl::Duration senderDelayOf(const absl::Status& status);

// The kind of a status. A status that was not created by makeError has the kind Internal, unless it is OK.
ErrorKind errorKindOf(const absl::Status& status);

} // namespace mangohall
