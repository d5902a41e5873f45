// Errors found in a settings file.
#pragma once

#include <string>

#include "absl/types/span.h"

namespace mangohall {

// An error in a settings file. `path` is the path of the field, for example "limits.bodyBytes"; it is empty if the
// error concerns the whole file. `message` states the rule that the field violates.
struct SettingsFault {
    std::string path;
    std::string message;

    friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

// Formats the errors as text with one line "path: message" each. An empty path is written as "settings".
std::string describeFaults(absl::Span<const SettingsFault> faults);

} // namespace mangohall
