#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "adapters/api/body_connection_port.h"
#include "adapters/api/limit_listener_port.h"
#include "core/body_budget_base.h"
#include "ports/clock_port.h"

namespace mangohall {

// Identifies an unfinished body; 0 is none.
using BodyId = std::uint64_t;

struct BodyLimits {
    // Bytes that all unfinished bodies hold together.
    std::size_t budgetBytes = 0;
    // Size of one body.
    std::size_t maxBodyBytes = 0;
    // Time from the request head to the end of the body.
    absl::Duration maxAge;
};

// What is to be done with a body after a piece of it has arrived.
enum class BodyVerdict {
    // The piece is held.
    Held,
    // The budget is used up: the body is not held, and its request is to be refused once it can be answered.
    Refused,
    // The body is over the size limit or its time limit, or was evicted: its connection is to be closed.
    Dropped,
};

// Holds the request bodies that are not complete yet and decides which of them are kept. A body that finds the budget
// used up replaces the bodies that have gone longest without data. Bytes are counted by the capacity of the buffers.
// The bodies are divided into shards, each under its own lock; no thread holds two of these locks. It knows nothing of
// HTTP.
class UnfinishedBodies {
public:
    // The clock and the listener have to outlive the bodies.
    UnfinishedBodies(const BodyLimits& limits, const Clock& clock, LimitListener& listener);

    // Adds a body whose request head is complete. The connection has to stay valid until `finish` or `end` returns.
    // What arrives of the body of a request that is already refused is not held, only bounded in size and time.
    BodyId begin(BodyConnection& connection, bool isRefused = false);
    // Adds a piece of a body.
    BodyVerdict append(BodyId id, absl::string_view piece);
    // Removes a complete body and returns it; nothing if it was dropped. Empty if it was refused.
    absl::optional<std::string> finish(BodyId id);
    // Removes a body, if it is still there.
    void end(BodyId id);
    // Drops the bodies that are over the time limit and closes their connections.
    void abandonLate();

    // Bytes held by all bodies.
    std::size_t heldBytes() const { return m_budget.usedBytes(); }

private:
    struct Body {
        Body(BodyConnection& givenConnection, BodyBudget& budget, absl::Time givenBegunAt)
            : connection(givenConnection)
            , reservation(budget)
            , begunAt(givenBegunAt)
        {
        }

        BodyConnection& connection;
        BodyReservation reservation;
        const absl::Time begunAt;
        std::string text;
        // Bytes received, including discarded ones of a refused body.
        std::size_t receivedBytes = 0;
        bool isRefused = false;
        // Number of the last piece among the pieces of all bodies; the body with the lowest one is evicted first.
        std::uint64_t lastPiece = 0;
        // Place in the shard's list of holders; valid while the body holds bytes.
        std::list<BodyId>::iterator holder;
    };

    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<BodyId, std::unique_ptr<Body>> bodies ABSL_GUARDED_BY(mutex);
        // The bodies that hold bytes; the one whose last piece is oldest comes first.
        std::list<BodyId> holders ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t shardCount = 16;

    enum class Step {
        Held,
        Refused,
        Dropped,
        // The budget is used up.
        NoRoom,
    };

    Shard& shardOf(BodyId id) { return m_shards[id % shardCount]; }
    // Adds the piece if there is room for it.
    Step tryAppend(BodyId id, absl::string_view piece);
    // Stores the piece; false if the budget is used up.
    bool tryStore(Shard& shard, BodyId id, Body& body, absl::string_view piece)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
    // Gives up the text of a body of which a piece has no room.
    void refuse(BodyId id, std::size_t pieceBytes);
    // Drops the body that has gone longest without data, other than the given one; false if no other body holds bytes.
    bool evictFor(BodyId id);
    // First holder of the shard other than the given body; null if there is none.
    static Body* firstHolder(Shard& shard, BodyId except, BodyId& found) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
    static void releaseBytes(Shard& shard, Body& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
    // Removes a body that is there and closes its connection.
    static void dropAndClose(Shard& shard, BodyId id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
    static void erase(Shard& shard, BodyId id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);

    const BodyLimits m_limits;
    const Clock& m_clock;
    LimitListener& m_listener;
    BodyBudget m_budget;
    std::atomic<BodyId> m_lastId { 0 };
    std::atomic<std::uint64_t> m_lastPiece { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace mangohall
