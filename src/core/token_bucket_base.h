#pragma once

#include <algorithm>

#include "absl/time/time.h"

namespace mangohall {

// Limits how often something happens: each time takes a token of a bucket that is refilled at a constant rate. Not safe
// to call from several threads.
class TokenBucket {
public:
    // `capacity` tokens may be taken at once; `perSecond` are refilled in a second.
    TokenBucket(double perSecond, double capacity, absl::Time now)
        : m_perSecond(perSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
        , m_refilledAt(now)
    {
    }

    // Takes a token. Returns false and takes none if there is none.
    bool tryTake(absl::Time now)
    {
        const double added = absl::ToDoubleSeconds(now - m_refilledAt) * m_perSecond;
        m_tokens = std::min(m_capacity, m_tokens + added);
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    const double m_perSecond;
    const double m_capacity;
    double m_tokens;
    absl::Time m_refilledAt;
};

} // namespace mangohall
