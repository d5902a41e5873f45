// Drives a node for batch jobs with threads.
#pragma once

#include <cstddef>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/runtime/part_threads_base.h"
#include "batch/node/node_base.h"
#include "batch/ports/caller_port.h"
#include "batch/ports/caller_sink_port.h"
#include "batch/ports/observer_port.h"
#include "batch/ports/store_port.h"
#include "batch/ports/worker_port.h"

namespace mangohall::batch {

// The ports through which a node's effects reach the outside. Every port outlives the runtime.
struct RuntimePorts {
    StorePort& store;
    WorkerPort& worker;
    CallerPort& caller;
    ObserverPort& observer;
};

// An event with the time at which it was put in a part's queue.
struct QueuedEvent {
    Event event;
    absl::Time queuedAt;
};

// Hands events to the parts of a node and carries out their effects. What calls back into the runtime has to be stopped
// before it is destroyed.
class BatchRuntime : public CallerSink, private PartHandler<QueuedEvent> {
public:
    BatchRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, std::size_t threadCount);
    ~BatchRuntime() override;

    // Starts the threads and wakes every part once. Called once.
    void start();
    // Stops the threads; events that wait stay unhandled. Safe to call twice.
    void stop();

    void post(CallerEvent event) override;

    // Asks the node to stop gracefully.
    void drain();
    // Waits until the node has handed everything over; false if that takes longer than the timeout.
    bool waitUntilDrained(absl::Duration timeout);

    std::size_t queuedEvents() const { return m_threads.queuedEvents(); }

private:
    void handlePart(PartIndex part, const QueuedEvent& queued) override;
    void wakePart(PartIndex part) override;
    void queue(PartIndex part, Event event);

    void execute(PartIndex part, const WakeAtEffect& effect);
    void execute(PartIndex part, const StoreEffect& effect);
    void execute(PartIndex part, const WorkerEffect& effect);
    void execute(PartIndex part, const AnswerEffect& effect);
    void execute(PartIndex part, const NotifyEffect& effect);
    void execute(PartIndex part, const ReadyEffect& effect);
    void execute(PartIndex part, const DrainedEffect& effect);
    void execute(PartIndex part, const DecisionEffect& effect);

    Node& m_node;
    const Clock& m_clock;
    const RuntimePorts m_ports;
    PartThreads<QueuedEvent> m_threads;
    absl::Mutex m_drainMutex;
    bool m_isDrained ABSL_GUARDED_BY(m_drainMutex) = false;
};

} // namespace mangohall::batch
