// Reads and checks the settings file of an entry or a scheduler.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "adapters/settings/settings_type.h"

namespace mangohall {

// Reads the settings of a node with the given role from JSON text. Relative paths in the text are resolved against
// `directory`. The result lists every error, not only the first.
SettingsResult parseSettings(absl::string_view text, NodeRole role, const std::string& directory);

// Reads the settings from a file. Relative paths in it are resolved against the directory of the file. A file that
// cannot be read is reported as an error with an empty path.
SettingsResult readSettingsFile(const std::string& path, NodeRole role);

} // namespace mangohall
