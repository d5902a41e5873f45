// Plain types of the calls that a worker session makes.
#pragma once

#include <cstdint>

#include "absl/time/time.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// How long a call waits for its reply, beside the time for which the worker may hold a poll open.
inline constexpr absl::Duration commandCallTimeout = absl::Milliseconds(800);

// What a call was for; needed to interpret its reply.
struct SessionCall {
    enum class Kind {
        Start,
        Stop,
        Poll,
    };
    Kind kind = Kind::Poll;
    RunKey run;
    absl::Time sentAt;
    // When the called process started, in Unix milliseconds, as far as its row or its replies had shown then.
    std::int64_t processStartMs = 0;
    // The first stop of a start that the worker has not confirmed in time.
    bool isGivenUp = false;
    // The same start was sent before.
    bool isRepeated = false;
    // The call renews the lease of everything that runs on the worker.
    bool renewsLease = false;
    // How long the worker may hold a poll open.
    absl::Duration wait = absl::ZeroDuration();
    // The last end that a poll acknowledges; 0 if it acknowledges none.
    std::int64_t acknowledgedEnd = 0;
    // Tells apart the calls of a session, counted from 1.
    std::int64_t number = 0;
};

// A call that is due. The caller of `WorkerSession::takeDueCalls` fills in the payload and checkpoint of a start.
struct DueCall {
    SessionCall context;
    WorkerCall call;
};

} // namespace mangohall::batch
