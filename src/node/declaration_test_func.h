// Tests of declarations and deletions against the declared configuration, before they are written.
#pragma once

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "configuration/configuration_type.h"
#include "membership/directory_type.h"

namespace mangohall {

// Tests whether a resource may be declared: its fields are valid, the resources it refers to exist, and, if it is a
// guarantee or a shard, the cells of all guarantees still fit into their shards. Errors: InvalidValue,
// UnknownOrganisation, GuaranteeDoesNotPack.
absl::Status testDeclaration(const ConfigSpec& spec, const Directory& directory);

// Tests whether a resource may be deleted, that is, no declared guarantee refers to it. Errors: InvalidValue.
absl::Status testRemoval(ConfigKind kind, absl::string_view name, const Directory& directory);

} // namespace mangohall
