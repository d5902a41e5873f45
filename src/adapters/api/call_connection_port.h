#pragma once

namespace mangohall {

// Connection of a call that waits for an answer of the node.
class CallConnection {
public:
    virtual ~CallConnection() = default;

    // Stops the server from processing the connection until `resume` is called.
    virtual void suspend() = 0;
    // Lets the server process the connection again. May be called from any thread.
    virtual void resume() = 0;
};

} // namespace mangohall
