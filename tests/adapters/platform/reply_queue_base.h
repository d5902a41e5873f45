#pragma once

#include <deque>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/store_port.h"

namespace mangohall {

// Stores the replies of the store until the test removes them. A watch may still reply after the queue is destroyed.
class ReplyQueue {
public:
    // The callback to give to a request.
    StorePort::Done done()
    {
        return [state = m_state](StoreReply reply) {
            const absl::MutexLock lock(&state->mutex);
            state->replies.push_back(std::move(reply));
        };
    }

    // Waits for the next reply and removes it.
    StoreReply take()
    {
        State& state = *m_state;
        const absl::MutexLock lock(&state.mutex);
        auto hasReply = [&state]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(state.mutex) { return !state.replies.empty(); };
        state.mutex.Await(absl::Condition(&hasReply));
        StoreReply reply = std::move(state.replies.front());
        state.replies.pop_front();
        return reply;
    }

private:
    struct State {
        absl::Mutex mutex;
        std::deque<StoreReply> replies ABSL_GUARDED_BY(mutex);
    };

    const std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace mangohall
