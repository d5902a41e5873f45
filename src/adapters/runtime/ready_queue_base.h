// Queue of the parts that wait for a worker thread.
#pragma once

#include <deque>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "core/part_type.h"

namespace mangohall {

// First-in, first-out queue from which worker threads take the parts that have queued events. Safe to call from several
// threads.
class ReadyQueue {
public:
    // Appends a part and wakes one waiting thread.
    void push(PartIndex part);

    // Waits for a part and removes it from the queue. Empty once the queue is closed, even if parts are left.
    absl::optional<PartIndex> take();

    // Closes the queue and wakes all waiting threads.
    void close();

private:
    absl::Mutex m_mutex;
    // Signalled when a part is appended or the queue is closed.
    absl::CondVar m_changed;
    std::deque<PartIndex> m_parts ABSL_GUARDED_BY(m_mutex);
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
