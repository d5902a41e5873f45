#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "adapters/api/call_connection_port.h"
#include "adapters/json/answer_json_func.h"
#include "node/caller_message_type.h"

namespace mangohall {

// Next action of the server for a call.
enum class CallStep {
    // Wait for the node; the connection has been suspended.
    Wait,
    // Send the answer as a complete response.
    Answer,
    // Start the streamed response of a watch.
    Stream,
    // Close the connection without a response.
    Close,
};

// Result of reading from the stream of a watch.
struct StreamReadResult {
    enum class Kind {
        // Bytes were copied into the buffer.
        Data,
        // No data yet; the connection has been suspended.
        Wait,
        // All lines have been read and none will follow.
        End,
        // The stream is aborted because the client has disconnected or the call is no longer in the table.
        Broken,
    };
    Kind kind = Kind::Wait;
    // Number of bytes copied; 0 unless the kind is Data.
    std::size_t size = 0;
};

// Calls that wait for answers of the node. They are distributed over shards by caller id, and each shard has its own
// lock. Connections are suspended and resumed under the lock of their shard, so that no wake-up is lost.
class CallTable {
public:
    CallTable(std::size_t maxWatches, std::size_t maxWatchBacklogBytes);

    // Adds a call. The connection must stay valid until the call is closed. TooManyWatches if the call is a watch
    // beyond the limit, Draining if the table has been shut down.
    absl::Status open(CallerId caller, CallConnection& connection, bool isWatch);

    // Removes a call. Returns true if the node has not sent its last answer yet, false also for an unknown call.
    bool close(CallerId caller);

    // Returns the next action for the call and suspends the connection if that is Wait. For Answer, the answer is moved
    // to `answer`. Close for an unknown call.
    CallStep step(CallerId caller, EncodedAnswer& answer);

    // Copies the next bytes of a watch's stream into the buffer; suspends the connection if there are none yet.
    StreamReadResult readStream(CallerId caller, absl::Span<char> buffer);

    // Delivers an answer of the node and resumes the connection. Ignored if the call has been closed.
    void answer(CallerId caller, const EncodedAnswer& answer, bool isLast);

    // Marks the call as abandoned by its client and resumes the connection, so that the server closes it.
    void abandon(CallerId caller);

    // Queues the line on every watch that has no unsent lines.
    void sendHeartbeats(absl::string_view line);

    // Ends the stream of every watch once its queued lines are sent.
    void endWatches();

    // Delivers the answer to every call, except watches, that waits for the node.
    void answerAll(const EncodedAnswer& answer);

    // Refuses new calls and abandons the remaining ones.
    void shutDown();

private:
    // State of one call.
    struct Call {
        CallConnection* connection = nullptr;
        bool isWatch = false;
        bool isSuspended = false;
        // The streamed response of a watch has been started.
        bool isStreaming = false;
        // No further lines of the watch are accepted; those in `unsentLines` are still sent.
        bool isEnded = false;
        // The client has disconnected, or the table has been shut down.
        bool isAbandoned = false;
        // The node has sent its last answer.
        bool hasLastAnswer = false;
        // Answer to send as a complete response.
        absl::optional<EncodedAnswer> answer;
        // Unsent lines of a watch, each ending in a line feed.
        std::string unsentLines;
    };

    // Part of the calls, under one lock.
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<CallerId, Call> calls ABSL_GUARDED_BY(mutex);
        bool isShutDown ABSL_GUARDED_BY(mutex) = false;
    };

    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(CallerId caller) { return m_shards[caller % shardCount]; }
    // Derives the next action from the state of the call, without changing it.
    static CallStep nextStep(const Call& call);
    static void suspend(Call& call);
    // Resumes the connection if it is suspended.
    static void resume(Call& call);
    // Queues a line of a watch; ends the watch if it was the last line or the backlog exceeds its limit.
    void appendLine(Call& call, const EncodedAnswer& answer, bool isLast) const;

    const std::size_t m_maxWatches;
    const std::size_t m_maxWatchBacklogBytes;
    // Number of open watches.
    std::atomic<std::size_t> m_watchCount { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace mangohall
