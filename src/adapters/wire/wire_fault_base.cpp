#include "adapters/wire/wire_fault_base.h"

#include "core/error_func.h"

namespace mangohall {

void WireFault::record(absl::string_view description)
{
    if (m_firstFault.empty())
        m_firstFault = std::string(description);
}

absl::Status WireFault::status() const
{
    if (m_firstFault.empty())
        return absl::OkStatus();
    return makeError(ErrorKind::MalformedBody, m_firstFault);
}

} // namespace mangohall
