// A node's decisions as log lines and as metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "adapters/observe/duration_histogram_base.h"
#include "adapters/observe/event_load_base.h"
#include "batch/ports/observer_port.h"
#include "core/name_type.h"
#include "nlohmann/json_fwd.hpp"
#include "ports/clock_port.h"

namespace mangohall::batch {

// Writes one JSON line for a decision and counts it. Lines beyond a rate are dropped and counted; writing never blocks.
// Safe to call from several threads.
class DecisionLog : public ObserverPort {
public:
    // The clock has to outlive the log.
    DecisionLog(NodeName self, const Clock& clock);

    void observe(const DecisionEffect& decision) override;
    void observeEvent(const EventTiming& timing) override;

    // Notes a change of the process itself: its start, stop or reload.
    void note(absl::string_view event, absl::string_view detail);

    // Everything counted so far, in the text format of Prometheus.
    std::string metricsText() const;

private:
    struct Series {
        std::map<std::string, std::uint64_t> outcomes;
        DurationHistogram durations;
    };

    // The series of one kind of decision, under a lock of its own.
    struct Shard {
        mutable absl::Mutex mutex;
        Series series ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t kindCount = 21;

    void write(nlohmann::json line, absl::Time now) const;
    bool takeLineAllowance(absl::Time now);
    void count(const DecisionEffect& decision);

    const NodeName m_self;
    const Clock& m_clock;
    std::array<Shard, kindCount> m_shards;
    EventLoad m_eventLoad;
    mutable absl::Mutex m_rateMutex;
    double m_allowance ABSL_GUARDED_BY(m_rateMutex);
    absl::Time m_refilledAt ABSL_GUARDED_BY(m_rateMutex);
    std::uint64_t m_dropped ABSL_GUARDED_BY(m_rateMutex) = 0;
};

// Sends whole lines to standard output from a thread of its own; lines that it cannot keep up with are dropped.
void setUpLineLogging();

} // namespace mangohall::batch
