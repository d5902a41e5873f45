#include "adapters/wire/peer_address_func.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int maxPort = 65535;

} // namespace

absl::StatusOr<PeerAddress> parsePeerAddress(absl::string_view text)
{
    const std::size_t colon = text.rfind(':');
    PeerAddress address;
    if (colon == absl::string_view::npos || !absl::SimpleAtoi(text.substr(colon + 1), &address.port))
        return makeError(ErrorKind::InvalidValue, absl::StrCat("address \"", text, "\": must be ip:port"));
    absl::string_view ip = text.substr(0, colon);
    if (absl::ConsumePrefix(&ip, "["))
        absl::ConsumeSuffix(&ip, "]");
    if (ip.empty() || address.port < 1 || address.port > maxPort)
        return makeError(ErrorKind::InvalidValue, absl::StrCat("address \"", text, "\": must be ip:port"));
    address.ip = std::string(ip);
    return address;
}

} // namespace mangohall
