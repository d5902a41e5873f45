// The events that wait for one part of a node.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace mangohall {

// A queue in arrival order that is in the hands of one worker thread at most. Between `push` returning true and
// `release` returning false the part belongs to the thread that was told of it. Safe to call from several threads.
template <typename Event> class PartQueue {
public:
    // Appends an event. True if the part was idle, so that it now has to be handed to a thread.
    bool push(Event event)
    {
        absl::MutexLock lock(&m_mutex);
        m_events.push_back(std::move(event));
        const bool wasIdle = !m_isBusy;
        m_isBusy = true;
        return wasIdle;
    }

    // Takes the oldest event. Called only by the thread that the part is handed to; there is an event then.
    Event pop()
    {
        absl::MutexLock lock(&m_mutex);
        Event event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

    // Gives the part back. True if events wait, so that it stays busy and has to be handed out again.
    bool release()
    {
        absl::MutexLock lock(&m_mutex);
        m_isBusy = !m_events.empty();
        return m_isBusy;
    }

    std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_events.size();
    }

private:
    mutable absl::Mutex m_mutex;
    std::deque<Event> m_events ABSL_GUARDED_BY(m_mutex);
    bool m_isBusy ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
