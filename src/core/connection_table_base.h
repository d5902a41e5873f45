#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "ports/clock_port.h"

namespace mangohall {

// The socket of one connection.
class ConnectionSocket {
public:
    virtual ~ConnectionSocket() = default;

    // Shuts the connection down; it ends some time later. Must not call the table.
    virtual void shutDown() = 0;
};

// Is told of each connection that gives its place to another one. Called under the lock of the table; must not call the
// table.
class ConnectionObserver {
public:
    virtual ~ConnectionObserver() = default;

    // `total` is the number of such connections so far.
    virtual void onConnectionDisplaced(std::uint64_t total) = 0;
};

using ConnectionId = std::uint64_t;

// Holds the connections of a front end and knows which of them await data of a request: those that have sent nothing or
// a part of a request, and those between two requests. When all places are taken, the one that has gone longest without
// data gives its place to the next. Safe to call from several threads; sockets are called on the thread that calls the
// table, under its lock and before `close` of their connection has returned. All connections are ordered by their last
// data, so there is one lock.
class ConnectionTable {
public:
    // The observer may be null. The clock and the observer have to outlive the table.
    ConnectionTable(std::size_t maxConnections, const Clock& clock, ConnectionObserver* observer);

    // Adds a connection, which awaits data. The socket has to outlive its time in the table.
    ConnectionId open(ConnectionSocket& socket);
    // Removes a connection that has ended.
    void close(ConnectionId id);

    // Records that a request is being handled, which keeps its connection.
    void markOccupied(ConnectionId id);
    // Records that the connection awaits data, from now on.
    void markAwaiting(ConnectionId id);
    // Records that the connection was shut down and is about to end.
    void markShutDown(ConnectionId id);

    // Whether every place is taken by a connection that is not about to end, and whether there are more of them than
    // places.
    bool isFull() const;
    bool isOverfull() const;
    // Since when the connection has awaited data that has done so longest; the infinite future if none does but the one
    // that was opened last.
    absl::Time longestSilentSince() const;
    // Shuts that connection down. Does nothing if there is none.
    void displaceLongestSilent();

    std::size_t size() const;
    // The number of connections that gave their place to another one.
    std::uint64_t displacedCount() const;

private:
    enum class State {
        AwaitsData,
        Occupied,
        ShutDown,
    };
    struct Connection {
        ConnectionSocket* socket = nullptr;
        State state = State::Occupied;
        // Since when it awaits data.
        absl::Time silentSince;
        // Its place in the list of those that await data.
        std::list<ConnectionId>::iterator position;
    };

    void setState(ConnectionId id, State state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void leaveState(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether a connection other than the last one that was opened awaits data.
    bool mayDisplace() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::size_t m_maxConnections;
    const Clock& m_clock;
    ConnectionObserver* const m_observer;
    mutable absl::Mutex m_mutex;
    std::map<ConnectionId, Connection> m_connections ABSL_GUARDED_BY(m_mutex);
    // Those that await data; the one that has done so longest first.
    std::list<ConnectionId> m_silent ABSL_GUARDED_BY(m_mutex);
    std::size_t m_shutDownCount ABSL_GUARDED_BY(m_mutex) = 0;
    ConnectionId m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_displacedCount ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace mangohall
