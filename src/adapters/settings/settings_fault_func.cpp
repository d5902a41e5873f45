#include "adapters/settings/settings_fault_func.h"

#include "absl/strings/str_cat.h"

namespace mangohall {

std::string describeFaults(absl::Span<const SettingsFault> faults)
{
    std::string lines;
    for (const SettingsFault& fault : faults)
        absl::StrAppend(&lines, fault.path.empty() ? "settings" : fault.path, ": ", fault.message, "\n");
    return lines;
}

} // namespace mangohall
