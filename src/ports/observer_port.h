#pragma once

#include "node/event_type.h"

namespace mangohall {

// Receives observations for metrics, logs and reports.
class ObserverPort {
public:
    virtual ~ObserverPort() = default;
    virtual void observe(const ObservationEffect& observation) = 0;
};

} // namespace mangohall
