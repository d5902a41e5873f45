#pragma once

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace mangohall {

// Waits for many sockets at a cost that does not grow with those that are quiet. One thread watches and waits; any
// thread may wake it.
class SocketPoller {
public:
    struct Ready {
        int socket = -1;
        bool isReadable = false;
        bool isWritable = false;
        bool hasFailed = false;
    };

    // Throws std::system_error if the process has no descriptors left.
    SocketPoller();
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    // Watches the socket for what is asked, and for nothing else than before. False if the system has no memory left
    // for it; such a socket is never told of.
    bool watch(int socket, bool isReadWanted, bool isWriteWanted);
    // A socket that is closed already needs no call.
    void forget(int socket);

    // Ends the wait that goes on, or else the next one.
    void wake();

    // Returns once a socket is ready, somebody has called `wake`, or the time is over. The result holds until the next
    // wait.
    absl::Span<const Ready> wait(absl::Duration longest);

private:
    void takeWakeUps() const;

    const int m_poller;
    const int m_wakeUp;
    std::vector<Ready> m_ready;
};

} // namespace mangohall
