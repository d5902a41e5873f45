// The threads that drive the parts of a node.
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

// What is done with the events of parts.
template <typename Event> class PartHandler {
public:
    virtual ~PartHandler() = default;

    // Handles one event. Called by one thread at a time for a part, for several parts at once.
    virtual void handlePart(PartIndex part, const Event& event) = 0;

    // The time that was set for the part has come.
    virtual void wakePart(PartIndex part) = 0;
};

// A queue for each part and a fixed pool of worker threads. A part is handled by one thread at a time in arrival order.
// No lock is held while an event is handled. Safe to call from several threads.
template <typename Event> class PartThreads {
public:
    PartThreads(PartHandler<Event>& handler, const Clock& clock, std::size_t partCount, std::size_t threadCount)
        : m_handler(handler)
        , m_threadCount(threadCount)
        , m_timers(clock, partCount)
    {
        for (std::size_t i = 0; i < partCount; ++i)
            m_queues.push_back(std::make_unique<PartQueue<Event>>());
    }

    // Starts the threads. Called once.
    void start()
    {
        m_threads.emplace_back(&PartThreads::runTimer, this);
        for (std::size_t i = 0; i < m_threadCount; ++i)
            m_threads.emplace_back(&PartThreads::runWorker, this);
    }

    // Stops the threads; events that wait stay unhandled. Safe to call twice.
    void stop()
    {
        m_ready.close();
        m_timers.close();
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    void post(PartIndex part, Event event)
    {
        if (m_queues.at(part)->push(std::move(event)))
            m_ready.push(part);
    }

    void wakeAt(PartIndex part, absl::Time at) { m_timers.set(part, at); }

    // Reads the clock anew, for a clock that does not run by itself.
    void recheckTimers() { m_timers.recheck(); }

    std::size_t partCount() const { return m_queues.size(); }

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
            m_handler.handlePart(*part, m_queues[*part]->pop());
            // Back to the end of the line, so that a busy part does not keep others waiting.
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
    // One for each part. The vector itself does not change.
    std::vector<std::unique_ptr<PartQueue<Event>>> m_queues;
    ReadyQueue m_ready;
    TimerQueue m_timers;
    std::vector<std::thread> m_threads;
};

} // namespace mangohall
