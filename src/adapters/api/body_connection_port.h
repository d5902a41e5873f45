#pragma once

namespace mangohall {

// The connection on which a request body arrives.
class BodyConnection {
public:
    virtual ~BodyConnection() = default;
    // Closes the connection without a response. Called from any thread, at most once, and must not block or call back.
    virtual void closeBodyConnection() = 0;
};

} // namespace mangohall
