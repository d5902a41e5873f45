// Retries of requests.
#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "ports/pause_port.h"
#include "ports/random_port.h"
#include "programs/ctl/entry_client_base.h"

namespace mangohall {

// Maximum number of attempts at one request, including the first.
inline constexpr int maxAttempts = 5;

// Returns the delay before a retry, numbered from 0: a random fraction of a maximum that doubles with each retry, from
// 200 ms up to 5 s.
absl::Duration fullJitter(int attempt, RandomSource& random);

// Sends a request until the reply is not retryable or maxAttempts is reached. Returns the last reply. TimedOut is not
// retried, as it means that the wait of an accepted request has expired.
EntryReply callWithRetries(EntryClient& client, const EntryRequest& request, RandomSource& random, Pause& pause);

// Returns a random change id, meant to be unique among all changes.
std::string makeChangeId(RandomSource& random);

} // namespace mangohall
