#include "standins/fault_switches_base.h"

#include "adapters/json/object_reader_base.h"

namespace mangohall {

absl::Status FaultSwitches::set(const nlohmann::json& fields, std::uint64_t newestConnection)
{
    Faults faults = this->faults();
    bool shouldSilence = false;
    ObjectReader reader(fields, "");
    reader.read("delayMs", faults.delay);
    reader.read("dropAnswerAfterWrite", faults.dropAnswerAfterWrite);
    reader.read("refuse", faults.refuse);
    reader.read("freeze", faults.freeze);
    reader.read("lagMs", faults.lag);
    reader.read("silenceOpenConnections", shouldSilence);
    absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    const absl::MutexLock lock(&m_mutex);
    m_faults = faults;
    if (shouldSilence)
        m_silentUpTo = newestConnection;
    return absl::OkStatus();
}

Faults FaultSwitches::faults() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_faults;
}

bool FaultSwitches::isSilent(std::uint64_t connection) const
{
    const absl::MutexLock lock(&m_mutex);
    return connection <= m_silentUpTo;
}

} // namespace mangohall
