#pragma once

#include "ports/observer_port.h"

namespace mangohall {

// Logs every observation as one line and passes it on to another observer. Safe to call from any thread.
class LogObserver : public ObserverPort {
public:
    // `next` has to outlive this observer.
    explicit LogObserver(ObserverPort& next);

    void observe(const ObservationEffect& observation) override;

private:
    ObserverPort& m_next;
};

} // namespace mangohall
