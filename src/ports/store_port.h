#pragma once

#include <functional>

#include "node/store_message_type.h"

namespace mangohall {

// The platform's key-value store.
class StorePort {
public:
    using Done = std::function<void(StoreReply)>;

    virtual ~StorePort() = default;

    // Starts a request and returns at once. `done` is called from any thread: once for most requests; for a watch once
    // per batch of changes, and finally with an error.
    virtual void start(const StoreRequest& request, Done done) = 0;
};

} // namespace mangohall
