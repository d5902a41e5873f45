// Drives a node with threads.
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

// What a runtime is told at its start.
struct RuntimeSettings {
    // The node's own name.
    NodeName self;
    std::size_t workerThreads = 4;
};

// What a runtime has done so far and what waits.
struct RuntimeCounters {
    std::uint64_t events = 0;
    std::uint64_t effects = 0;
    std::size_t queuedEvents = 0;
};

// A queue for each part of a node and a fixed pool of worker threads. A part is handled by one thread at a time in
// arrival order, and its effects are started before its next event is handled. No lock is held while the node handles
// an event or an effect is started. What calls back into the runtime has to be stopped before it is destroyed.
class NodeRuntime : public EventSink, private PartSink, private PartHandler<Event> {
public:
    NodeRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, const RuntimeSettings& settings);
    ~NodeRuntime() override;

    // Starts the threads and wakes every part once. Called once.
    void start();

    // Stops the threads; events that wait stay unhandled. Safe to call twice.
    void stop();

    void post(Event event) override;

    // Asks the node to stop gracefully.
    void drain();

    // Waits until the node has handed everything over; false if that takes longer than the timeout.
    bool waitUntilDrained(absl::Duration timeout);

    // Reads the clock anew, for a clock that does not run by itself.
    void recheckTimers();

    RuntimeCounters counters() const;

private:
    void postTo(PartIndex part, Event event) override;
    void postFromOutside(Event event) override;
    void wakeAt(PartIndex part, absl::Time at) override;
    void drained() override;

    void handlePart(PartIndex part, const Event& event) override;
    void wakePart(PartIndex part) override;

    Node& m_node;
    const Clock& m_clock;
    PartThreads<Event> m_threads;
    EffectExecutor m_executor;
    std::atomic<std::uint64_t> m_events { 0 };
    std::atomic<std::uint64_t> m_effects { 0 };
    absl::Mutex m_drainMutex;
    bool m_isDrained ABSL_GUARDED_BY(m_drainMutex) = false;
};

} // namespace mangohall
