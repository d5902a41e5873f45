// What the parts of a node do all the time: how long events wait and how long they take.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "adapters/observe/duration_histogram_base.h"
#include "batch/ports/observer_port.h"

namespace mangohall::batch {

// One line for the log: a part of the node that is behind.
struct PartBehind {
    absl::string_view part;
    absl::string_view event;
    EventTiming timing;
    // Events that were behind since the last line.
    std::size_t events = 0;
};

// Times of events, by part and kind of event. Safe to call from several threads.
class EventLoad {
public:
    // Something to be told if the event shows that its part is behind and nothing was told of the part shortly before.
    absl::optional<PartBehind> add(const EventTiming& timing, absl::Time now);

    // Appends everything counted so far in the text format of Prometheus.
    void appendTo(std::string& text) const;

private:
    static constexpr std::size_t kindCount = std::variant_size_v<Event>;
    // The directory, the owner, and all desks together.
    static constexpr std::size_t roleCount = 3;

    struct Series {
        DurationHistogram waited;
        DurationHistogram handled;
        DurationHistogram carriedOut;
    };

    // The series of one role, under a lock of its own.
    struct Shard {
        mutable absl::Mutex mutex;
        std::array<Series, kindCount> series ABSL_GUARDED_BY(mutex);
        absl::Time toldAt ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
        std::size_t behind ABSL_GUARDED_BY(mutex) = 0;
    };

    std::array<Shard, roleCount> m_shards;
};

} // namespace mangohall::batch
