#pragma once

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// The faults that a stand-in simulates.
struct Faults {
    // The delay of answers. Requests take effect without delay.
    absl::Duration delay;
    // Requests that change something take effect, but the connection is closed without an answer.
    bool dropAnswerAfterWrite = false;
    // Connections are closed without handling the request.
    bool refuse = false;
    // Requests are neither handled nor answered until the fault ends.
    bool freeze = false;
    // How far a list is behind the actual state.
    absl::Duration lag;
};

// Holds the faults of a stand-in, which are set from JSON. Safe to use from several threads.
class FaultSwitches {
public:
    // Sets the faults that are named: delayMs, dropAnswerAfterWrite, refuse, freeze, silenceOpenConnections, lagMs.
    // silenceOpenConnections silences `newestConnection` and all earlier connections for good. InvalidValue for an
    // unknown or malformed field.
    absl::Status set(const nlohmann::json& fields, std::uint64_t newestConnection);

    Faults faults() const;
    // Returns whether nothing may be sent on the connection any more.
    bool isSilent(std::uint64_t connection) const;

private:
    mutable absl::Mutex m_mutex;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_silentUpTo ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace mangohall
