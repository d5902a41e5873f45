#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "adapters/http/socket_poller_base.h"
#include "curl/curl.h"

namespace mangohall {

// The connections to some of a client's hosts, which the library keeps in one cache. At the end of each transfer the
// library examines every connection and every host of the cache, so a client with many hosts divides them among several
// groups. Used by the client's thread only.
class CurlConnectionGroup {
public:
    // A transfer that the library has completed.
    struct Completed {
        CURL* handle = nullptr;
        CURLcode code = CURLE_OK;
    };

    // The poller must outlive the group and reports the group's sockets with the number. At most `idleConnections` idle
    // connections are kept open.
    CurlConnectionGroup(SocketPoller& poller, std::uint32_t number, std::size_t idleConnections);
    ~CurlConnectionGroup();
    CurlConnectionGroup(const CurlConnectionGroup&) = delete;
    CurlConnectionGroup& operator=(const CurlConnectionGroup&) = delete;

    // Starts the transfer of a handle; it makes progress with the next `processTimers`.
    void add(CURL* handle);
    // Ends the transfer of a handle; one that is not completed loses its connection.
    void remove(CURL* handle);

    // Makes progress on the transfer whose socket is ready.
    void processSocket(const SocketPoller::Ready& ready);
    // Makes progress on new transfers and on expired timers of the library.
    void processTimers(absl::Time now);
    // When `processTimers` has something to do next.
    absl::Time nextTimer(absl::Time now);

    // Returns the next transfer that has completed since the last call of `nextTimer`, if there is one. It stays in the
    // group until it is removed.
    absl::optional<Completed> takeCompleted();

private:
    // Socket callback of the library: `what` says which events it wants for a socket.
    static int onSocketChange(CURL* handle, curl_socket_t socket, int what, void* self, void* state);

    SocketPoller& m_poller;
    const std::uint32_t m_number;
    CURLM* const m_multi;
    // Transfers may have changed, and with them the library's next timer, since `nextTimer` asked for it.
    bool m_isChanged = false;
    absl::Time m_timerAt = absl::InfiniteFuture();
};

} // namespace mangohall
