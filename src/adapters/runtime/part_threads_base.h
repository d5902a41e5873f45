// Worker threads and timer thread that run the parts of a node.
#pragma once

#include <cstddef>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "adapters/runtime/part_queue_base.h"
#include "adapters/runtime/ready_queue_base.h"
#include "adapters/runtime/timer_queue_base.h"
#include "core/part_type.h"
#include "ports/clock_port.h"

namespace mangohall {

// Handler of the events and wake-ups of the parts.
template <typename Event> class PartHandler {
public:
    virtual ~PartHandler() = default;

    // Handles one event of the part. Called by one thread at a time for each part, but concurrently for several parts.
    virtual void handleEvent(PartIndex part, const Event& event) = 0;

    // Called by the timer thread when the wake-up time of the part is reached.
    virtual void wakePart(PartIndex part) = 0;
};

// Runs parts on a fixed pool of worker threads, with an event queue for each part, and one timer thread for wake-ups.
// The events of a part are handled by one thread at a time in arrival order. No lock is held while an event is handled.
// `post`, `wakeAt`, `recheckTimers` and `queuedEvents` are safe to call from several threads.
template <typename Event> class PartThreads {
public:
    // The handler and the clock have to outlive the threads, which `stop` ends.
    PartThreads(PartHandler<Event>& handler, const Clock& clock, std::size_t partCount, std::size_t threadCount)
        : m_handler(handler)
        , m_threadCount(threadCount)
        , m_timers(clock, partCount)
    {
        for (std::size_t i = 0; i < partCount; ++i)
            m_queues.push_back(std::make_unique<PartQueue<Event>>());
    }

    // Starts the threads. Must be called at most once.
    void start()
    {
        m_threads.emplace_back(&PartThreads::runTimer, this);
        for (std::size_t i = 0; i < m_threadCount; ++i)
            m_threads.emplace_back(&PartThreads::runWorker, this);
    }

    // Stops the threads after their current event; queued events stay unhandled. Safe to call twice.
    void stop()
    {
        m_ready.close();
        m_timers.close();
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    // Queues an event for the part, and schedules the part if it was idle.
    void post(PartIndex part, Event event)
    {
        if (m_queues.at(part)->push(std::move(event)))
            m_ready.push(part);
    }

    // Sets the part's wake-up time, which replaces the one set before.
    void wakeAt(PartIndex part, absl::Time at) { m_timers.set(part, at); }

    // Makes the timer thread read the clock again. Needed after a manual clock has been advanced.
    void recheckTimers() { m_timers.recheck(); }

    std::size_t partCount() const { return m_queues.size(); }

    // The number of events in the queues of all parts.
    std::size_t queuedEvents() const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<PartQueue<Event>>& queue : m_queues)
            count += queue->size();
        return count;
    }

private:
    void runWorker()
    {
        while (const absl::optional<PartIndex> part = m_ready.take()) {
            m_handler.handleEvent(*part, m_queues[*part]->pop());
            // A part with more events goes to the end of the ready queue, so that a busy part does not delay the
            // others.
            if (m_queues[*part]->release())
                m_ready.push(*part);
        }
    }

    void runTimer()
    {
        while (const absl::optional<PartIndex> part = m_timers.waitForDue())
            m_handler.wakePart(*part);
    }

    PartHandler<Event>& m_handler;
    const std::size_t m_threadCount;
    // One queue for each part. The vector is not modified after construction, so it needs no lock.
    std::vector<std::unique_ptr<PartQueue<Event>>> m_queues;
    // Parts with queued events that no thread handles yet.
    ReadyQueue m_ready;
    TimerQueue m_timers;
    std::vector<std::thread> m_threads;
};

} // namespace mangohall
