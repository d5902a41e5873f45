#pragma once

#include <deque>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/wire/peer_connection_base.h"
#include "adapters/wire/peer_port_type.h"
#include "adapters/wire/shared_peer_counters_base.h"
#include "node/peer_message_type.h"

namespace mangohall {

// Sends messages to one destination, with its own queue, thread and connection. Queued messages go out in batches. A
// batch that fails is dropped, because the originators of messages send them again. The thread ends, and the sender is
// closed, after the idle timeout or stop().
class PeerSender {
public:
    // Starts the thread. `counters` must outlive the sender.
    PeerSender(const PeerAddress& address, const PeerPortSettings& settings, SharedPeerCounters& counters);
    ~PeerSender();
    PeerSender(const PeerSender&) = delete;
    PeerSender& operator=(const PeerSender&) = delete;

    // Queues a message whose encoded size is `bytes`; drops the oldest messages if the queue is full. Returns false if
    // the sender is stopping or closed.
    bool push(const PeerMessage& message, std::size_t bytes) ABSL_LOCKS_EXCLUDED(m_mutex);
    // Makes the thread send the queued messages and then close. Does not wait for that.
    void stop() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool isClosed() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct QueuedMessage {
        PeerMessage message;
        std::size_t bytes = 0;
    };

    struct Batch {
        std::vector<QueuedMessage> messages;
        std::size_t bytes = 0;
    };

    // The body of the thread.
    void run();
    // Waits for messages and removes a batch from the queue. Marks the sender closed and returns an empty batch if the
    // queue is empty after the idle timeout or on stop().
    Batch takeBatch() ABSL_LOCKS_EXCLUDED(m_mutex);
    // Removes messages from the front of the queue, up to the limits of a batch.
    Batch takeFrontBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Drops messages from the front until a message of this size fits into the queue.
    void dropOldestToFit(std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sends a batch and updates the counters. OwnerUnreachable if it is not acknowledged.
    absl::Status deliver(const Batch& batch);
    // Drops the queue if the sender is stopping, so that stop() does not retry an unreachable destination.
    void dropQueueIfStopping() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_isStopping || !m_queue.empty(); }

    const PeerPortSettings m_settings;
    SharedPeerCounters& m_counters;
    // Used only by the sender's own thread.
    PeerConnection m_connection;
    mutable absl::Mutex m_mutex;
    std::deque<QueuedMessage> m_queue ABSL_GUARDED_BY(m_mutex);
    // The encoded size of the messages in the queue.
    std::size_t m_queuedBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isClosed ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace mangohall
