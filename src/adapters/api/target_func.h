// Parsing of request targets, headers and query parameters.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "adapters/api/api_request_type.h"

namespace mangohall {

// Splits a target into path segments and query parameters and decodes percent-encoding. InvalidValue if the path does
// not start with a slash, the encoding is invalid, a segment is empty, or a parameter occurs twice.
absl::StatusOr<ApiTarget> parseTarget(absl::string_view target);

// Returns the value of a parameter, or nothing if the target does not have it.
absl::optional<std::string> findParameter(const ApiTarget& target, absl::string_view name);

// Returns the value of a header, or nothing if it is missing. The name is compared without regard to case.
absl::optional<std::string> findHeader(absl::Span<const ApiHeader> headers, absl::string_view name);

// Parses a non-negative decimal integer. InvalidValue, with the name in its message, if the text is anything else or
// the number does not fit 64 bits.
absl::StatusOr<std::int64_t> parseNumber(absl::string_view name, absl::string_view text);

// Returns InvalidValue if the target has a parameter that is not in the allowed list.
absl::Status checkParameters(const ApiTarget& target, absl::Span<const absl::string_view> allowed);

} // namespace mangohall
