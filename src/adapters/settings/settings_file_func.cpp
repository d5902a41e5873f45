#include "adapters/settings/settings_file_func.h"

#include <fstream>
#include <sstream>

namespace mangohall {

absl::optional<std::string> readSettingsText(const std::string& path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace mangohall
