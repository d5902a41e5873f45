// What is wrong with a settings file.
#pragma once

#include <string>

#include "absl/types/span.h"

namespace mangohall {

// One fault of a settings file. The path names the field, for example "limits.bodyBytes".
struct SettingsFault {
    std::string path;
    std::string message;

    friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

// One line for each fault, "path: message".
std::string describeFaults(absl::Span<const SettingsFault> faults);

} // namespace mangohall
