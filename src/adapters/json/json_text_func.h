// JSON as text.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// Parses a text. MalformedBody if it is no JSON, with the byte at fault.
absl::StatusOr<nlohmann::json> parseJson(absl::string_view text);

// The shortest text. Bytes that are no UTF-8 are replaced.
std::string toJsonText(const nlohmann::json& value);

} // namespace mangohall
