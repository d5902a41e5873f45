// Metrics about the event handling of a node: how long events wait in the queues of the parts and how long they take.
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

// A report on a slow event, to be logged.
struct SlowEventReport {
    // The role of the part: "directory", "owner" or "desk".
    absl::string_view part;
    // The name of the kind of event.
    absl::string_view eventKind;
    // The durations of the reported event.
    EventTiming timing;
    // The number of slow events of the role since its last report, including this one.
    std::size_t slowEvents = 0;
};

// Histograms of the durations of events, by role of the part and kind of event. Detects slow events. Safe to call from
// several threads.
class EventLoad {
public:
    // Adds the durations of one event. Returns a report if the event was slow and no event of the same role was
    // reported shortly before.
    absl::optional<SlowEventReport> add(const EventTiming& timing, absl::Time now);

    // Appends all metrics counted so far in the text format of Prometheus.
    void appendTo(std::string& text) const;

private:
    // The number of kinds of events.
    static constexpr std::size_t kindCount = std::variant_size_v<Event>;
    // The roles are the directory, the owner, and all caller parts together.
    static constexpr std::size_t roleCount = 3;

    // The durations of one kind of event.
    struct Series {
        // The time in the queue of the part.
        DurationHistogram waitTimes;
        // The time until the part had decided.
        DurationHistogram decisionTimes;
        // The time to start the effects of the decision.
        DurationHistogram effectTimes;
    };

    // The series of one role with their lock.
    struct Shard {
        mutable absl::Mutex mutex;
        std::array<Series, kindCount> series ABSL_GUARDED_BY(mutex);
        // The time of the last report.
        absl::Time reportedAt ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
        // Slow events since the last report.
        std::size_t slowEvents ABSL_GUARDED_BY(mutex) = 0;
    };

    std::array<Shard, roleCount> m_shards;
};

} // namespace mangohall::batch
