#pragma once

#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Stores the posted messages and lets a test wait for them.
class FakeEventSink : public EventSink {
public:
    void post(Event event) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_messages.push_back(std::get<PeerEvent>(std::move(event)).message);
        m_mutex.Await(absl::Condition(this, &FakeEventSink::isUnblocked));
    }

    // While the sink is blocked, post() does not return, so a server that posts to it does not acknowledge.
    void setBlocked(bool isBlocked)
    {
        const absl::MutexLock lock(&m_mutex);
        m_isBlocked = isBlocked;
    }

    // Waits until at least `count` messages have arrived.
    void awaitCount(std::size_t count)
    {
        const absl::MutexLock lock(&m_mutex);
        m_awaitedCount = count;
        m_mutex.Await(absl::Condition(this, &FakeEventSink::hasAwaitedCount));
    }

    // Returns whether at least `count` messages arrived before the timeout.
    bool awaitCountFor(std::size_t count, absl::Duration timeout)
    {
        const absl::MutexLock lock(&m_mutex);
        m_awaitedCount = count;
        return m_mutex.AwaitWithTimeout(absl::Condition(this, &FakeEventSink::hasAwaitedCount), timeout);
    }

    std::vector<PeerMessage> messages()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_messages;
    }

private:
    bool isUnblocked() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return !m_isBlocked; }
    bool hasAwaitedCount() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_messages.size() >= m_awaitedCount; }

    absl::Mutex m_mutex;
    std::vector<PeerMessage> m_messages ABSL_GUARDED_BY(m_mutex);
    std::size_t m_awaitedCount ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_isBlocked ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
