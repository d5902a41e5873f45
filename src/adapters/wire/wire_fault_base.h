#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace mangohall {

// Records the first invalid field that is found while a message is converted.
class WireFault {
public:
    // Records the name of the field, unless a fault has been recorded before.
    void record(absl::string_view description);
    bool hasFault() const { return !m_firstFault.empty(); }
    // OK, or MalformedBody with the name of the first invalid field.
    absl::Status status() const;

private:
    // Empty if there is no fault.
    std::string m_firstFault;
};

} // namespace mangohall
