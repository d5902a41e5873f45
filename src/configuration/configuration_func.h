// Free functions on declared resources.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "configuration/configuration_type.h"

namespace mangohall {

// The kind of a resource.
ConfigKind kindOf(const ConfigSpec& spec);

// The name of a resource within its kind.
absl::string_view nameOf(const ConfigSpec& spec);

// Checks the name and the ranges of the fields. Returns InvalidValue with the field's name.
absl::Status checkConfigSpec(const ConfigSpec& spec);

// The prefix of the store keys of declared resources, "config/".
absl::string_view configPrefix();

// The store key of a resource, for example "config/organisations/zagara". With an empty name, the prefix of the kind.
std::string configKey(ConfigKind kind, absl::string_view name);

// The plural name of a kind as operators use it and as it appears in store keys, for example "organisations".
absl::string_view configKindName(ConfigKind kind);

} // namespace mangohall
