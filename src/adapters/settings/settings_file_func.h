// The text of a settings file.
#pragma once

#include <string>

#include "absl/types/optional.h"

namespace mangohall {

// The content of the file; empty if it cannot be opened.
absl::optional<std::string> readSettingsText(const std::string& path);

} // namespace mangohall
