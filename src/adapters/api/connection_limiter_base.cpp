#include "adapters/api/connection_limiter_base.h"

#include "core/hash_func.h"

namespace mangohall {

ConnectionLimiter::ConnectionLimiter(std::size_t maxConnections, std::size_t maxConnectionsPerClient)
    : m_maxConnections(maxConnections)
    , m_maxConnectionsPerClient(maxConnectionsPerClient)
{
}

ConnectionLimiter::Shard& ConnectionLimiter::shardOf(absl::string_view client)
{
    return m_shards[stableHash(client) % shardCount];
}

bool ConnectionLimiter::add(absl::string_view client)
{
    const std::size_t total = ++m_count;
    Shard& shard = shardOf(client);
    absl::MutexLock lock(&shard.mutex);
    const std::size_t ofClient = ++shard.clients[std::string(client)];
    return total <= m_maxConnections && ofClient <= m_maxConnectionsPerClient;
}

void ConnectionLimiter::remove(absl::string_view client)
{
    --m_count;
    Shard& shard = shardOf(client);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.clients.find(client);
    if (found == shard.clients.end())
        return;
    if (--found->second == 0)
        shard.clients.erase(found);
}

} // namespace mangohall
