#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"

namespace mangohall {

// Open sockets of the HTTP client by host, including those of idle connections. Used by the client's thread only.
class CurlSocketRegistry {
public:
    // Creates and registers a socket for a host. Returns -1 if the system provides none.
    int open(absl::string_view host, int family, int type, int protocol);
    // Closes and unregisters a socket. Returns the result of the system call: 0, or -1 on failure.
    int close(int socket);

    // Returns the host's socket that is bound to this local port; -1 if there is none.
    int findByLocalPort(absl::string_view host, std::uint16_t port) const;

    // Shuts down the host's sockets that are not in `inUse`, so that the library does not reuse their connections.
    void shutDownIdle(absl::string_view host, const absl::flat_hash_set<int>& inUse);

private:
    absl::flat_hash_map<std::string, absl::flat_hash_set<int>> m_socketsByHost;
    absl::flat_hash_map<int, std::string> m_hostBySocket;
};

} // namespace mangohall
