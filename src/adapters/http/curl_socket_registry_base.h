#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"

namespace mangohall {

// The sockets of the HTTP client's connections by host, including idle ones. The library tells of the close of each
// socket that was connected; it closes others, whose connection could not be made, without a word, and their numbers
// may be those of sockets of other parts of the process then. So only connected sockets are registered. Used by the
// client's thread only.
class CurlSocketRegistry {
public:
    // Registers a connected socket of a host, unless it is not bound to this local port. Returns whether it is.
    bool add(absl::string_view host, int socket, std::uint16_t port);
    // Resets the connection of a socket, so that what its peer has not got by now does not arrive later, and closes and
    // unregisters the socket. Returns the result of the system call: 0, or -1 on failure.
    int close(int socket);

    // Returns the host's socket that is bound to this local port; -1 if there is none.
    int findByLocalPort(absl::string_view host, std::uint16_t port) const;

    // Shuts down the host's sockets that are not in `inUse`, so that the library does not reuse their connections.
    void shutDownIdle(absl::string_view host, const absl::flat_hash_set<int>& inUse);

private:
    // Unregisters a socket, if it is registered.
    void remove(int socket);

    absl::flat_hash_map<std::string, absl::flat_hash_set<int>> m_socketsByHost;
    absl::flat_hash_map<int, std::string> m_hostBySocket;
};

} // namespace mangohall
