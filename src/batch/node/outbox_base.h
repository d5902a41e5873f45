#pragma once

#include <utility>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

// Collects the effects of one part and numbers its calls. The part's lock protects it.
class Outbox {
public:
    // Adds a call to the store and returns its number.
    CallId toStore(StoreRequest request, absl::Duration timeout)
    {
        m_effects.push_back(StoreEffect { ++m_lastCall, std::move(request), timeout });
        return m_lastCall;
    }

    // Adds a call to a worker and returns its number.
    CallId toWorker(WorkerCall request)
    {
        m_effects.push_back(WorkerEffect { ++m_lastCall, std::move(request) });
        return m_lastCall;
    }

    void answer(CallerId caller, CallerAnswer answer)
    {
        m_effects.push_back(AnswerEffect { caller, std::move(answer) });
    }

    void notify(PartIndex part, Event event) { m_effects.push_back(NotifyEffect { part, std::move(event) }); }
    void log(DecisionEffect decision) { m_effects.push_back(std::move(decision)); }
    void add(Effect effect) { m_effects.push_back(std::move(effect)); }

    // Returns the collected effects in the order in which they were added, and removes them.
    Effects take() { return std::exchange(m_effects, {}); }

private:
    // The number of the last call; the first one is 1.
    CallId m_lastCall = 0;
    Effects m_effects;
};

} // namespace mangohall::batch
