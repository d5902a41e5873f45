#pragma once

#include <deque>
#include <functional>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace mangohall {

// Runs actions in the order in which they were added, each after its delay at the earliest, and none while frozen. Safe
// to use from several threads.
class DelayQueue {
public:
    using Action = std::function<void()>;

    DelayQueue();
    ~DelayQueue();
    DelayQueue(const DelayQueue&) = delete;
    DelayQueue& operator=(const DelayQueue&) = delete;

    // Runs the action after the delay. Without a delay and with nothing queued, runs it at once in the caller's thread.
    void run(absl::Duration delay, Action action);
    // Stops running actions, or continues.
    void setFrozen(bool isFrozen);
    // Reduces the remaining delay of queued actions to at most `delay`.
    void limitDelay(absl::Duration delay);

    // Waits for the running action to end and discards the queued ones.
    void stop();

private:
    struct Entry {
        absl::Time due;
        Action action;
    };

    void runThread();
    // Waits for the next action. Returns an empty one once the queue is stopping.
    Action waitForNext();
    // Marks the running action as ended.
    void finish();
    // Returns whether the first action may run now.
    bool isReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::deque<Entry> m_entries ABSL_GUARDED_BY(m_mutex);
    // An action is running on the queue's thread.
    bool m_isBusy ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isFrozen ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace mangohall
