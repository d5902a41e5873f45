#pragma once

#include <deque>
#include <functional>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace mangohall {

// Does things in the order in which they were given, each not before its delay has passed, and nothing while frozen.
class DelayLine {
public:
    using Action = std::function<void()>;

    DelayLine();
    ~DelayLine();
    DelayLine(const DelayLine&) = delete;
    DelayLine& operator=(const DelayLine&) = delete;

    // Does it at once, in the caller's thread, if nothing stands before it.
    void run(absl::Duration delay, Action action);
    void setFrozen(bool isFrozen);
    // What waits longer than this waits no longer than this.
    void shorten(absl::Duration delay);

    // Waits for what is being done; the rest is not done any more.
    void stop();

private:
    struct Entry {
        absl::Time due;
        Action action;
    };

    void work();
    // Waits for the next action. Returns an empty one once the line is stopping.
    Action next();
    void finish();
    bool isReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::deque<Entry> m_entries ABSL_GUARDED_BY(m_mutex);
    bool m_isBusy ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFrozen ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace mangohall
