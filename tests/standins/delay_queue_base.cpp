#include "standins/delay_queue_base.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace mangohall {

DelayQueue::DelayQueue()
    : m_thread([this] { runThread(); })
{
}

DelayQueue::~DelayQueue()
{
    stop();
}

void DelayQueue::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
        m_changed.SignalAll();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void DelayQueue::run(absl::Duration delay, Action action)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (delay > absl::ZeroDuration() || m_isFrozen || m_isBusy || !m_entries.empty()) {
            m_entries.push_back({ absl::Now() + delay, std::move(action) });
            m_changed.SignalAll();
            return;
        }
    }
    action();
}

void DelayQueue::setFrozen(bool isFrozen)
{
    const absl::MutexLock lock(&m_mutex);
    m_isFrozen = isFrozen;
    m_changed.SignalAll();
}

void DelayQueue::limitDelay(absl::Duration delay)
{
    const absl::MutexLock lock(&m_mutex);
    const absl::Time latest = absl::Now() + delay;
    for (Entry& entry : m_entries)
        entry.due = std::min(entry.due, latest);
    m_changed.SignalAll();
}

bool DelayQueue::isReady() const
{
    return !m_isFrozen && !m_entries.empty() && m_entries.front().due <= absl::Now();
}

void DelayQueue::runThread()
{
    while (const Action action = waitForNext()) {
        action();
        finish();
    }
}

DelayQueue::Action DelayQueue::waitForNext()
{
    const absl::MutexLock lock(&m_mutex);
    while (!m_isStopping) {
        if (isReady()) {
            Action action = std::move(m_entries.front().action);
            m_entries.pop_front();
            m_isBusy = true;
            return action;
        }
        const bool hasDue = !m_isFrozen && !m_entries.empty();
        m_changed.WaitWithDeadline(&m_mutex, hasDue ? m_entries.front().due : absl::InfiniteFuture());
    }
    return {};
}

void DelayQueue::finish()
{
    const absl::MutexLock lock(&m_mutex);
    m_isBusy = false;
}

} // namespace mangohall
