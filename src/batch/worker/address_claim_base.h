// The aggregate of the evidence of which worker is at an address.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace mangohall::batch {

// Whether the worker that was called at an address is still there. One process listens at an address at a time, and an
// id is not used again once a worker of another id has followed it there, so a worker whose address was taken over has
// ended with all that it ran, and a command on its way to it is refused by its successor.
//
// Two observations that are newer than the last sign of the worker have to agree: a call for the worker was refused
// since another process listens there, and another worker has replied from there. The refusal alone may come from an
// intermediary; the reply alone may be that of a predecessor. Not safe to call from several threads.
class AddressClaim {
public:
    // Records that a row of the worker names this address and start of its process, in Unix milliseconds, at this time.
    void recordRow(absl::string_view address, std::int64_t processStartMs, absl::Time now);
    // Records that the worker has replied to a call that was sent then.
    void recordReply(absl::Time sentAt);
    // Records that a call for the worker, sent then, was refused since another process listens at the address.
    void recordRefusal(absl::Time sentAt);
    // Records that another worker has replied to a call that was sent to this address then.
    void recordOtherWorker(absl::string_view address, absl::Time sentAt);

    // Whether another worker has taken over the address. Never true for a worker that was called at two addresses:
    // what was sent to one of them says nothing of the other.
    bool isTakenOver() const;

private:
    std::string m_address;
    std::int64_t m_processStartMs = 0;
    bool m_hasMoved = false;
    // The worker was at the address at this time or later.
    absl::Time m_seenAt = absl::InfinitePast();
    // When the last call was sent that was refused, and the last that another worker has replied to.
    absl::Time m_refusedAt = absl::InfinitePast();
    absl::Time m_otherWorkerAt = absl::InfinitePast();
};

} // namespace mangohall::batch
