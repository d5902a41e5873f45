#include "programs/ctl/retry_func.h"

#include <algorithm>
#include <cstdint>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr absl::Duration firstMaxDelay = absl::Milliseconds(200);
constexpr absl::Duration longestMaxDelay = absl::Seconds(5);
constexpr int maxDoublings = 10;

std::uint32_t randomBits(RandomSource& random)
{
    constexpr double range = 4294967296.0;
    return static_cast<std::uint32_t>(random.uniform() * range);
}

// True if the wait of an accepted request has expired. That is an answer, so it is not retried.
bool isWaitExpired(const EntryReply& reply)
{
    return reply.errorKind() == errorName(ErrorKind::TimedOut);
}

} // namespace

absl::Duration fullJitter(int attempt, RandomSource& random)
{
    const absl::Duration bound = std::min(longestMaxDelay, firstMaxDelay * (1 << std::min(attempt, maxDoublings)));
    return bound * random.uniform();
}

EntryReply callWithRetries(EntryClient& client, const EntryRequest& request, RandomSource& random, Pause& pause)
{
    EntryReply reply = client.call(request);
    for (int attempt = 1; attempt < maxAttempts; ++attempt) {
        if (reply.isSuccess() || !reply.isRetryable() || isWaitExpired(reply))
            return reply;
        const bool wasUnknown = reply.isOutcomeUnknown() || reply.isEarlierAttemptUnknown;
        pause.pauseFor(fullJitter(attempt - 1, random));
        reply = client.call(request);
        reply.isEarlierAttemptUnknown = reply.isEarlierAttemptUnknown || wasUnknown;
    }
    return reply;
}

std::string makeChangeId(RandomSource& random)
{
    const std::uint32_t high = randomBits(random);
    const std::uint32_t middle = randomBits(random);
    const std::uint32_t low = randomBits(random);
    return absl::StrCat(
        "ctl-", absl::Hex(high, absl::kZeroPad8), absl::Hex(middle, absl::kZeroPad8), absl::Hex(low, absl::kZeroPad8));
}

} // namespace mangohall
