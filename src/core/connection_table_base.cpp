#include "core/connection_table_base.h"

namespace mangohall {

ConnectionTable::ConnectionTable(std::size_t maxConnections, const Clock& clock, ConnectionObserver* observer)
    : m_maxConnections(maxConnections)
    , m_clock(clock)
    , m_observer(observer)
{
}

ConnectionId ConnectionTable::open(ConnectionSocket& socket)
{
    absl::MutexLock lock(&m_mutex);
    const ConnectionId id = ++m_lastId;
    m_connections[id].socket = &socket;
    setState(id, State::AwaitsData);
    return id;
}

void ConnectionTable::close(ConnectionId id)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    leaveState(found->second);
    m_connections.erase(found);
}

void ConnectionTable::markOccupied(ConnectionId id)
{
    absl::MutexLock lock(&m_mutex);
    setState(id, State::Occupied);
}

void ConnectionTable::markAwaiting(ConnectionId id)
{
    absl::MutexLock lock(&m_mutex);
    setState(id, State::AwaitsData);
}

void ConnectionTable::markShutDown(ConnectionId id)
{
    absl::MutexLock lock(&m_mutex);
    setState(id, State::ShutDown);
}

void ConnectionTable::setState(ConnectionId id, State state)
{
    const auto found = m_connections.find(id);
    // A connection that was shut down only ends.
    if (found == m_connections.end() || found->second.state == State::ShutDown)
        return;
    Connection& connection = found->second;
    leaveState(connection);
    connection.state = state;
    if (state == State::AwaitsData) {
        connection.silentSince = m_clock.now();
        connection.position = m_silent.insert(m_silent.end(), id);
    } else if (state == State::ShutDown) {
        ++m_shutDownCount;
    }
}

void ConnectionTable::leaveState(Connection& connection)
{
    if (connection.state == State::AwaitsData)
        m_silent.erase(connection.position);
    else if (connection.state == State::ShutDown)
        --m_shutDownCount;
    connection.state = State::Occupied;
}

bool ConnectionTable::isFull() const
{
    absl::MutexLock lock(&m_mutex);
    return m_connections.size() - m_shutDownCount >= m_maxConnections;
}

bool ConnectionTable::isOverfull() const
{
    absl::MutexLock lock(&m_mutex);
    return m_connections.size() - m_shutDownCount > m_maxConnections;
}

bool ConnectionTable::mayDisplace() const
{
    return !m_silent.empty() && m_silent.front() != m_lastId;
}

absl::Time ConnectionTable::longestSilentSince() const
{
    absl::MutexLock lock(&m_mutex);
    return mayDisplace() ? m_connections.at(m_silent.front()).silentSince : absl::InfiniteFuture();
}

void ConnectionTable::displaceLongestSilent()
{
    absl::MutexLock lock(&m_mutex);
    if (!mayDisplace())
        return;
    const ConnectionId id = m_silent.front();
    ConnectionSocket& socket = *m_connections.at(id).socket;
    setState(id, State::ShutDown);
    ++m_displacedCount;
    if (m_observer != nullptr)
        m_observer->onConnectionDisplaced(m_displacedCount);
    socket.shutDown();
}

std::size_t ConnectionTable::size() const
{
    absl::MutexLock lock(&m_mutex);
    return m_connections.size();
}

std::uint64_t ConnectionTable::displacedCount() const
{
    absl::MutexLock lock(&m_mutex);
    return m_displacedCount;
}

} // namespace mangohall
