#include "adapters/runtime/timer_queue_base.h"

#include <algorithm>
#include <cstdint>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace mangohall {

namespace {

// A wait of 60 s at most keeps the timeout within the int that poll takes; `waitForDue` then waits again.
constexpr std::int64_t maxWaitMilliseconds = 60'000;

} // namespace

TimerQueue::TimerQueue(const Clock& clock, std::size_t partCount)
    : m_clock(clock)
    , m_wakeUpFd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_times(partCount, absl::InfiniteFuture())
{
}

TimerQueue::~TimerQueue()
{
    ::close(m_wakeUpFd);
}

void TimerQueue::set(PartIndex part, absl::Time at)
{
    bool isEarlier = false;
    {
        absl::MutexLock lock(&m_mutex);
        m_times.at(part) = at;
        isEarlier = at < m_waitingUntil;
    }
    if (isEarlier)
        signal();
}

absl::optional<PartIndex> TimerQueue::waitForDue()
{
    while (true) {
        absl::Duration timeout;
        {
            absl::MutexLock lock(&m_mutex);
            if (m_isClosed)
                return absl::nullopt;
            const absl::Time now = m_clock.now();
            m_waitingUntil = absl::InfinitePast();
            if (const absl::optional<PartIndex> due = takeDue(now))
                return due;
            m_waitingUntil = earliestTime();
            timeout = m_waitingUntil - now;
        }
        waitForSignal(timeout);
    }
}

void TimerQueue::signal()
{
    // The write fails only if the counter of the event descriptor is full, and a signal is pending then anyway.
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeUpFd, &one, sizeof(one));
}

void TimerQueue::waitForSignal(absl::Duration timeout)
{
    // Rounded up to whole milliseconds, so that the thread does not wake just before the due time.
    const std::int64_t waitMilliseconds
        = std::min<std::int64_t>(absl::ToInt64Milliseconds(timeout), maxWaitMilliseconds - 1) + 1;
    pollfd entry { m_wakeUpFd, POLLIN, 0 };
    ::poll(&entry, 1, static_cast<int>(waitMilliseconds));
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t bytesRead = ::read(m_wakeUpFd, &count, sizeof(count));
}

void TimerQueue::recheck()
{
    signal();
}

void TimerQueue::close()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_isClosed = true;
    }
    signal();
}

absl::optional<PartIndex> TimerQueue::takeDue(absl::Time now)
{
    const auto first = std::min_element(m_times.begin(), m_times.end());
    if (first == m_times.end() || *first > now)
        return absl::nullopt;
    *first = absl::InfiniteFuture();
    return static_cast<PartIndex>(first - m_times.begin());
}

absl::Time TimerQueue::earliestTime() const
{
    const auto first = std::min_element(m_times.begin(), m_times.end());
    return first == m_times.end() ? absl::InfiniteFuture() : *first;
}

} // namespace mangohall
