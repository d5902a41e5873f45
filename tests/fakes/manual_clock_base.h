// A clock whose time changes only when a test advances it.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/clock_port.h"

namespace mangohall {

// Safe to call from several threads.
class ManualClock : public Clock {
public:
    explicit ManualClock(absl::Time start = absl::FromUnixSeconds(1700000000))
        : m_now(start)
    {
    }

    absl::Time now() const override
    {
        absl::MutexLock lock(&m_mutex);
        return m_now;
    }

    void advance(absl::Duration step)
    {
        absl::MutexLock lock(&m_mutex);
        m_now += step;
    }

private:
    mutable absl::Mutex m_mutex;
    absl::Time m_now ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
