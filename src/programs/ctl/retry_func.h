// Sending again what may be sent again.
#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "ports/pause_port.h"
#include "ports/random_port.h"
#include "programs/ctl/entry_client_base.h"

namespace mangohall {

// Attempts at one request, the first included.
inline constexpr int maxAttempts = 5;

// A wait before the attempt with this number, the first being 0: a random part of a bound that doubles each time.
absl::Duration fullJitter(int attempt, RandomSource& random);

// Calls until the reply is not retryable or the attempts are used up.
EntryReply callWithRetries(EntryClient& client, const EntryRequest& request, RandomSource& random, Pause& pause);

// A change id that no other change has.
std::string makeChangeId(RandomSource& random);

} // namespace mangohall
