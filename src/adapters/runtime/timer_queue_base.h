// Wake-up times of the parts of a node.
#pragma once

#include <cstddef>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "core/part_type.h"
#include "ports/clock_port.h"

namespace mangohall {

// Holds at most one wake-up time for each part and lets the timer thread wait for the earliest. Safe to call from
// several threads; only one thread at a time may wait.
class TimerQueue {
public:
    // No part has a wake-up time at first. The clock has to outlive the queue.
    TimerQueue(const Clock& clock, std::size_t partCount);
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    // Sets the part's wake-up time, which replaces the one set before. The infinite future clears it.
    void set(PartIndex part, absl::Time at);

    // Waits until a part's wake-up time is reached, clears that time and returns the part. Empty once the queue is
    // closed.
    absl::optional<PartIndex> waitForDue();

    // Makes the waiting thread read the clock again. Needed after a manual clock has been advanced.
    void recheck();

    // Closes the queue and wakes the waiting thread.
    void close();

private:
    // Clears the earliest wake-up time and returns its part if the time is reached; empty otherwise.
    absl::optional<PartIndex> takeDue(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Wakes the waiting thread.
    void signal();
    // Waits for a signal or the timeout, at most `maxWaitMilliseconds`, and clears the signal.
    void waitForSignal(absl::Duration timeout);
    // The earliest wake-up time; the infinite future if no part has one.
    absl::Time earliestTime() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Clock& m_clock;
    absl::Mutex m_mutex;
    // The event descriptor that wakes the waiting thread. The thread waits on it with poll, because the timeouts of
    // poll do not depend on the time of day, unlike those of the mutex.
    const int m_wakeUpFd;
    // The time until which the waiting thread waits; only an earlier wake-up time has to signal it.
    absl::Time m_waitingUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    // The wake-up time of each part; the infinite future if it has none.
    std::vector<absl::Time> m_times ABSL_GUARDED_BY(m_mutex);
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
