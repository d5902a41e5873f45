// Event queue of one part of a node.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace mangohall {

// First-in, first-out queue of the events of one part, which at most one worker thread processes at a time. The part
// becomes busy when `push` returns true and idle when `release` returns false; in between, exactly one thread owns it.
// Safe to call from several threads.
template <typename Event> class PartQueue {
public:
    // Appends an event. True if the part was idle; the caller then has to schedule it on a worker thread.
    bool push(Event event)
    {
        absl::MutexLock lock(&m_mutex);
        m_events.push_back(std::move(event));
        const bool wasIdle = !m_isBusy;
        m_isBusy = true;
        return wasIdle;
    }

    // Removes and returns the oldest event. Only the thread that owns the part may call this, once after each time the
    // part is scheduled; the queue is not empty then.
    Event pop()
    {
        absl::MutexLock lock(&m_mutex);
        Event event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

    // Ends the ownership of the part. True if events are queued; the part then stays busy and the caller has to
    // schedule it again.
    bool release()
    {
        absl::MutexLock lock(&m_mutex);
        m_isBusy = !m_events.empty();
        return m_isBusy;
    }

    // The number of queued events.
    std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_events.size();
    }

private:
    mutable absl::Mutex m_mutex;
    std::deque<Event> m_events ABSL_GUARDED_BY(m_mutex);
    // True while the part is scheduled on a worker thread or handled by one.
    bool m_isBusy ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
