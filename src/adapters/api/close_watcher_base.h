#pragma once

#include <thread>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "node/caller_message_type.h"

namespace mangohall {

// Receives the notifications of a CloseWatcher, on the thread of the watcher.
class CloseListener {
public:
    virtual ~CloseListener() = default;
    // Called when the client of this caller id has closed its connection.
    virtual void onClosed(CallerId caller) = 0;
    // Called once in each heartbeat period.
    virtual void onHeartbeat() = 0;
};

// Detects on one thread that clients close suspended connections, whose sockets the HTTP library does not poll. A
// client that shuts down its sending side counts as disconnected.
class CloseWatcher {
public:
    explicit CloseWatcher(CloseListener& listener);
    ~CloseWatcher();
    CloseWatcher(const CloseWatcher&) = delete;
    CloseWatcher& operator=(const CloseWatcher&) = delete;

    // Starts the thread and its heartbeat timer. Internal if the system provides no descriptors.
    absl::Status start(absl::Duration heartbeatPeriod);
    // Ends the thread and closes the descriptors. May be called repeatedly.
    void stop();

    // Watches a socket until it is removed or its client has closed it. Errors are ignored.
    void add(int socket, CallerId caller);
    // Stops watching a socket. Must be called before the socket serves another call.
    void remove(int socket);

private:
    void run();

    CloseListener& m_listener;
    // File descriptors of the epoll set, of the event that ends the thread, and of the heartbeat timer; -1 while
    // closed.
    int m_epollDescriptor = -1;
    int m_stopDescriptor = -1;
    int m_timerDescriptor = -1;
    std::thread m_thread;
};

} // namespace mangohall
