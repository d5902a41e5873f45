#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace mangohall {

// Waits for events of many sockets on epoll, so the cost depends on the number of ready sockets, not on that of watched
// ones. One thread calls all functions except `wake`, which any thread may call.
class SocketPoller {
public:
    // A ready socket and its events.
    struct Ready {
        int socket = -1;
        // The number that the socket was watched with.
        std::uint32_t group = 0;
        bool isReadable = false;
        bool isWritable = false;
        bool hasFailed = false;
    };

    // Throws std::system_error if the system provides no descriptors.
    SocketPoller();
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    // Watches the socket for the given events, which replace those of an earlier call. `wait` reports the socket with
    // the number of its group. Returns false if the system cannot register the socket, for example for lack of memory;
    // `wait` then never reports it.
    bool watch(int socket, std::uint32_t group, bool isReadWanted, bool isWriteWanted);
    // Stops watching a socket. Not needed for a socket that has been closed.
    void remove(int socket);

    // Ends the current wait, or the next one if there is none.
    void wake();

    // Waits until a socket is ready, `wake` is called, or the time has elapsed. Returns the ready sockets, possibly
    // none; the span is valid until the next call.
    absl::Span<const Ready> wait(absl::Duration longest);
    // Whether more sockets may have been ready than the last wait could return.
    bool mayHaveMore() const { return m_mayHaveMore; }

private:
    // Resets the counter of the wake-up event.
    void clearWakeUps() const;

    // File descriptors of the epoll set and of the wake-up event.
    const int m_epollDescriptor;
    const int m_wakeDescriptor;
    // Result of the last wait.
    std::vector<Ready> m_ready;
    bool m_mayHaveMore = false;
};

} // namespace mangohall
