// Reads and checks settings files.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "adapters/settings/settings_type.h"

namespace mangohall {

// Reads the settings of a node of the role from JSON text. `directory` is what relative paths in it start from.
// Every fault is told, not only the first.
SettingsResult parseSettings(absl::string_view text, NodeRole role, const std::string& directory);

// The same from a file.
SettingsResult readSettingsFile(const std::string& path, NodeRole role);

} // namespace mangohall
