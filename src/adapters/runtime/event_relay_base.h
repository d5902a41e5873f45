#pragma once

#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Forwards events to a sink that is connected later. It breaks a construction cycle: a front end needs a sink, and the
// runtime, which is that sink, needs the front end. Events are dropped while no sink is connected. Safe to call from
// several threads.
class EventRelay : public EventSink {
public:
    // Sets the sink, which has to outlive the relay or be replaced first. Null disconnects the current sink.
    void connect(EventSink* sink)
    {
        const absl::MutexLock lock(&m_mutex);
        m_sink = sink;
    }

    // Forwards the event to the connected sink, or drops it.
    void post(Event event) override
    {
        EventSink* const sink = connectedSink();
        if (sink != nullptr)
            sink->post(std::move(event));
    }

private:
    // The current sink; null if none is connected.
    EventSink* connectedSink()
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        return m_sink;
    }

    absl::Mutex m_mutex;
    EventSink* m_sink ABSL_GUARDED_BY(m_mutex) = nullptr;
};

} // namespace mangohall
