#include "core/hash_func.h"

#include <boost/uuid/detail/sha1.hpp>

namespace mangohall {

namespace {

// The first eight bytes of the digest as a big-endian number.
std::uint64_t firstEightBytes(boost::uuids::detail::sha1& digester)
{
    boost::uuids::detail::sha1::digest_type digest;
    digester.get_digest(digest);
    return (static_cast<std::uint64_t>(digest[0]) << 32U) | digest[1];
}

} // namespace

std::uint64_t stableHash(absl::string_view text)
{
    boost::uuids::detail::sha1 digester;
    digester.process_bytes(text.data(), text.size());
    return firstEightBytes(digester);
}

std::uint64_t rendezvousWeight(absl::string_view key, absl::string_view candidate)
{
    boost::uuids::detail::sha1 digester;
    digester.process_bytes(key.data(), key.size());
    digester.process_byte(0);
    digester.process_bytes(candidate.data(), candidate.size());
    return firstEightBytes(digester);
}

} // namespace mangohall
