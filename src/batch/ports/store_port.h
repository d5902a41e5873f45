#pragma once

#include <functional>

#include "absl/time/time.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// The connection to the store that keeps the records.
class StorePort {
public:
    using Done = std::function<void(StoreReply)>;

    virtual ~StorePort() = default;

    // Starts a request and returns without waiting. `done` is called exactly once, from any thread, at the latest when
    // the timeout has passed.
    virtual void start(const StoreRequest& request, absl::Duration timeout, Done done) = 0;
};

} // namespace mangohall::batch
