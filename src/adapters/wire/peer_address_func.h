#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace mangohall {

// The address at which a node accepts peer connections.
struct PeerAddress {
    std::string ip;
    int port = 0;
};

// Parses "ip:port"; an IPv6 address is written in brackets. InvalidValue if the text has another form, or the port is
// not in 1..65535.
absl::StatusOr<PeerAddress> parsePeerAddress(absl::string_view text);

} // namespace mangohall
