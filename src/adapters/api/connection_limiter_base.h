#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace mangohall {

// Counts open connections, in total and for each client address, and checks them against limits.
class ConnectionLimiter {
public:
    ConnectionLimiter(std::size_t maxConnections, std::size_t maxConnectionsPerClient);

    // Counts a new connection of the client address. Returns false if it exceeds a limit; it is counted nevertheless
    // and must be removed when it closes.
    bool add(absl::string_view client);
    // Removes a connection that was added before.
    void remove(absl::string_view client);

    // Number of open connections, including those beyond a limit.
    std::size_t count() const { return m_count; }

private:
    // Connection counts of part of the client addresses, under one lock.
    struct Shard {
        absl::Mutex mutex;
        absl::flat_hash_map<std::string, std::size_t> clients ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(absl::string_view client);

    const std::size_t m_maxConnections;
    const std::size_t m_maxConnectionsPerClient;
    std::atomic<std::size_t> m_count { 0 };
    std::array<Shard, shardCount> m_shards;
};

} // namespace mangohall
