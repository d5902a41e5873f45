// Parsing and formatting of JSON text.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// How many arrays and objects may contain each other.
inline constexpr int maxJsonNesting = 64;

// Parses JSON text. Fails with MalformedBody if the text is not JSON, is nested deeper than maxJsonNesting, or has a
// number that does not fit into a double; the message has the position of a syntax error in bytes.
absl::StatusOr<nlohmann::json> parseJson(absl::string_view text);

// Formats a value without white space. Bytes that are not UTF-8 are replaced by U+FFFD.
std::string toJsonText(const nlohmann::json& value);

} // namespace mangohall
