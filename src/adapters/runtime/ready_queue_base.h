// The parts that wait for a worker thread.
#pragma once

#include <deque>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "core/part_type.h"

namespace mangohall {

// Hands parts with waiting events to worker threads, first come, first served. Safe to call from several threads.
class ReadyQueue {
public:
    void push(PartIndex part);

    // Waits for a part; nothing once the queue is closed.
    absl::optional<PartIndex> take();

    // Lets every waiting thread go.
    void close();

private:
    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::deque<PartIndex> m_parts ABSL_GUARDED_BY(m_mutex);
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
