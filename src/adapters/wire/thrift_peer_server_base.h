#pragma once

#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/synchronization/mutex.h"
#include "adapters/wire/peer_port_type.h"
#include "ports/event_sink_port.h"
#include "thrift/server/TThreadedServer.h"
#include "thrift/transport/TServerSocket.h"

namespace mangohall {

// Receives messages from other processes over Thrift and posts them as events.
class ThriftPeerServer {
public:
    // `sink` receives the events; it must outlive the server.
    ThriftPeerServer(const PeerServerSettings& settings, EventSink& sink);
    // Calls stop().
    ~ThriftPeerServer();
    ThriftPeerServer(const ThriftPeerServer&) = delete;
    ThriftPeerServer& operator=(const ThriftPeerServer&) = delete;

    // Binds the port and serves in a thread of its own; returns once the port is bound. Internal with the reason if
    // that fails. Called once.
    absl::Status start() ABSL_LOCKS_EXCLUDED(m_mutex);
    // The TCP port that is bound.
    int port() const;
    // Accepts no new connections, answers the batches that are being processed, closes the connections and then
    // returns.
    void stop();

private:
    // Sets the state to Serving once the port is bound.
    class StartListener;

    enum class State {
        Starting,
        Serving,
        Ended,
    };

    // The body of the thread. Sets m_status if the server ends with an exception.
    void serve();
    void setState(State state) ABSL_LOCKS_EXCLUDED(m_mutex);
    bool hasStarted() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_state != State::Starting; }

    std::shared_ptr<apache::thrift::transport::TServerSocket> m_socket;
    std::unique_ptr<apache::thrift::server::TThreadedServer> m_server;
    absl::Mutex m_mutex;
    State m_state ABSL_GUARDED_BY(m_mutex) = State::Starting;
    // The error that ended the server, or OK.
    absl::Status m_status ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace mangohall
