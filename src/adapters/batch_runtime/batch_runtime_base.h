// Runs a node for batch jobs on a pool of threads.
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

// References to the ports through which the effects of a node are carried out. Every port has to outlive the runtime.
struct RuntimePorts {
    StorePort& store;
    WorkerPort& worker;
    CallerPort& caller;
    ObserverPort& observer;
};

// An event with the time at which it was appended to its part's queue.
struct QueuedEvent {
    Event event;
    absl::Time queuedAt;
};

// Runs the parts of a node for batch jobs on a fixed pool of worker threads. Events are handled in arrival order for
// each part, by one thread at a time, and the effects that the part returns are started in that thread. The ports
// call back into the runtime, so they have to be stopped before it is destroyed.
class BatchRuntime : public CallerSink, private PartHandler<QueuedEvent> {
public:
    // `threadCount` is the number of worker threads; the timer thread is additional. The node and the clock have to
    // outlive the runtime.
    BatchRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, std::size_t threadCount);
    ~BatchRuntime() override;

    // Posts a wake-up to every part and starts the threads. Must be called at most once.
    void start();
    // Stops the threads after their current event; queued events stay unhandled. Safe to call twice.
    void stop();

    // Queues a request of a caller for the caller part that the node assigns its path to.
    void post(CallerEvent event) override;

    // Requests a graceful stop of the node; `waitUntilDrained` waits for its completion.
    void drain();
    // Waits until the node has handed over all its work. False if the timeout expires first.
    bool waitUntilDrained(absl::Duration timeout);

    // The number of events in the queues of all parts.
    std::size_t queuedEvents() const { return m_threads.queuedEvents(); }

private:
    // Handles an event, carries out its effects and reports the durations to the observer.
    void handleEvent(PartIndex part, const QueuedEvent& queued) override;
    void wakePart(PartIndex part) override;
    // Appends the event to the queue of the part, with the current time.
    void enqueue(PartIndex part, Event event);

    // Starts one effect that the part returned. The result of an asynchronous effect is queued as an event of that
    // part.
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
    // Set once the node has reported that it is drained.
    bool m_isDrained ABSL_GUARDED_BY(m_drainMutex) = false;
};

} // namespace mangohall::batch
