#pragma once

#include <cstddef>

namespace mangohall {

// What the front end did to a client because of a limit.
enum class ClientLimit {
    // A body over the size limit was refused or its connection closed.
    BodyTooLarge,
    // A body was refused because the byte budget was used up and no other body could be evicted.
    BodyRefused,
    // A body was not complete within its time limit; its connection was closed.
    BodyAbandoned,
    // A body was evicted in favour of another one; its connection was closed.
    BodyEvicted,
    // A request was refused because its connection exceeds a connection limit.
    ConnectionRefused,
    // A connection without a complete request was closed in favour of another one.
    ConnectionDisplaced,
};

constexpr std::size_t clientLimitCount = 6;

// Receives every use of a limit. Safe to call from several threads.
class LimitListener {
public:
    virtual ~LimitListener() = default;
    // Must not call the object that notifies it.
    virtual void onLimit(ClientLimit limit) = 0;
};

} // namespace mangohall
