// Declared resources as JSON, for operators and for the store. The same text stands in a file under version control:
// {"kind": "organisations", "name": "…", "spec": {…}}.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "configuration/configuration_func.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// NotFound if there is no such kind.
absl::StatusOr<ConfigKind> configKindFromName(absl::string_view name);

// The fields of the spec without its name.
nlohmann::json toJson(const ConfigSpec& spec);

// Reads the fields of a spec. Errors: UnknownField, InvalidValue; the message has the path of the field.
absl::StatusOr<ConfigSpec> configSpecFromJson(ConfigKind kind, absl::string_view name, const nlohmann::json& fields);

} // namespace mangohall
