// A simulated outgoing link of one node.
#pragma once

#include <algorithm>
#include <cstddef>

#include "absl/time/time.h"

namespace mangohall::batch {

// Sends one message after the other at a fixed rate.
class Link {
public:
    // A rate of 0 stands for a link without a limit.
    explicit Link(double bytesPerSecond = 0)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    // Returns how long it takes until the message has been sent, behind those before it.
    absl::Duration send(std::size_t bytes, absl::Time now)
    {
        if (m_bytesPerSecond == 0)
            return absl::ZeroDuration();
        m_freeAt = std::max(m_freeAt, now) + absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
        return m_freeAt - now;
    }

private:
    double m_bytesPerSecond;
    absl::Time m_freeAt = absl::InfinitePast();
};

} // namespace mangohall::batch
