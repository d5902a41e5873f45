// The times at which parts of a node want to be woken.
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

// One wake time for each part; a later one replaces an earlier one. Safe to call from several threads.
class TimerQueue {
public:
    TimerQueue(const Clock& clock, std::size_t partCount);
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    // Sets the time of a part; the infinite future means never.
    void set(PartIndex part, absl::Time at);

    // Waits until the time of a part has come and forgets that time; nothing once the queue is closed.
    absl::optional<PartIndex> waitForDue();

    // Reads the clock anew, for a clock that does not run by itself.
    void recheck();

    // Lets every waiting thread go.
    void close();

private:
    absl::optional<PartIndex> takeDue(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void signal();
    void waitForSignal(absl::Duration timeout);
    absl::Time earliest() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Clock& m_clock;
    absl::Mutex m_mutex;
    // Waited on by poll, whose timeouts do not depend on the time of day as those of the mutex do.
    const int m_wakeUp;
    // Until when the waiting thread sleeps, so that only an earlier time has to wake it.
    absl::Time m_sleepsUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::vector<absl::Time> m_times ABSL_GUARDED_BY(m_mutex);
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
