#pragma once

#include <array>
#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "adapters/api/limit_listener_port.h"
#include "ports/clock_port.h"

namespace mangohall {

// Counts the uses of each limit and decides which of them are logged: at most one a second of each kind, so that a
// flood of requests does not become a flood of log lines. Each kind has its own lock.
class LimitCounts {
public:
    // The clock has to outlive the counts.
    explicit LimitCounts(const Clock& clock);

    // Counts one use. Returns whether it is to be logged.
    bool add(ClientLimit limit);
    // Number of uses so far.
    std::uint64_t count(ClientLimit limit) const;

private:
    struct Row {
        mutable absl::Mutex mutex;
        std::uint64_t count ABSL_GUARDED_BY(mutex) = 0;
        absl::Time lastLineAt ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    };

    const Clock& m_clock;
    std::array<Row, clientLimitCount> m_rows;
};

} // namespace mangohall
