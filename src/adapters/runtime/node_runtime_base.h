// Runs a node on a pool of threads.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/runtime/effect_executor_base.h"
#include "adapters/runtime/part_sink_port.h"
#include "adapters/runtime/part_threads_base.h"
#include "node/node_base.h"
#include "ports/clock_port.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Settings of a runtime, fixed at its construction.
struct RuntimeSettings {
    // The node's own name.
    NodeName self;
    // The number of threads that handle events; the timer thread is additional.
    std::size_t workerThreads = 4;
};

// Counters of a runtime.
struct RuntimeCounters {
    // Events handled since the start.
    std::uint64_t events = 0;
    // Effects started since the start.
    std::uint64_t effects = 0;
    // Events that are in the queues of all parts now.
    std::size_t queuedEvents = 0;
};

// Runs the parts of a node on a fixed pool of worker threads, with an event queue for each part. The events of a part
// are handled by one thread at a time in arrival order, and the effects of an event are started before the part's next
// event is handled. No lock is held while the node handles an event or an effect is started. The ports call back into
// the runtime, so they have to be stopped before it is destroyed.
class NodeRuntime : public EventSink, private PartSink, private PartHandler<Event> {
public:
    // The node, the clock and the ports have to outlive the runtime.
    NodeRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, const RuntimeSettings& settings);
    ~NodeRuntime() override;

    // Posts a wake-up to every part and starts the threads. Must be called at most once.
    void start();

    // Stops the threads after their current event; queued events stay unhandled. Safe to call twice.
    void stop();

    // Queues the event for the part that the node assigns it to.
    void post(Event event) override;

    // Requests a graceful stop of the node; `waitUntilDrained` waits for its completion.
    void drain();

    // Waits until the node has handed over all its work. False if the timeout expires first.
    bool waitUntilDrained(absl::Duration timeout);

    // Makes the timer thread read the clock again. Needed after a manual clock has been advanced.
    void recheckTimers();

    // The current counters.
    RuntimeCounters counters() const;

private:
    void postTo(PartIndex part, Event event) override;
    void routeEvent(Event event) override;
    void wakeAt(PartIndex part, absl::Time at) override;
    void handleDrained() override;

    void handleEvent(PartIndex part, const Event& event) override;
    void wakePart(PartIndex part) override;

    Node& m_node;
    const Clock& m_clock;
    PartThreads<Event> m_threads;
    EffectExecutor m_executor;
    // Events handled and effects started, for `counters`.
    std::atomic<std::uint64_t> m_events { 0 };
    std::atomic<std::uint64_t> m_effects { 0 };
    absl::Mutex m_drainMutex;
    // Set once the node has reported that it is drained.
    bool m_isDrained ABSL_GUARDED_BY(m_drainMutex) = false;
};

} // namespace mangohall
