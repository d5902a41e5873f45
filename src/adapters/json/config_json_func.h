// JSON encoding of declared resources, for operators and for the store. Operators keep the same text in files under
// version control: {"kind": "organisations", "name": "…", "spec": {…}}.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "configuration/configuration_func.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// The kind with the given name, for example "organisations". Fails with NotFound if there is no such kind.
absl::StatusOr<ConfigKind> configKindFromName(absl::string_view name);

// The fields of the spec as a JSON object, without the name of the resource.
nlohmann::json toJson(const ConfigSpec& spec);

// Reads the spec of a resource of the given kind and name. Fails with UnknownField or InvalidValue; the message starts
// with the path of the field.
absl::StatusOr<ConfigSpec> configSpecFromJson(ConfigKind kind, absl::string_view name, const nlohmann::json& fields);

} // namespace mangohall
