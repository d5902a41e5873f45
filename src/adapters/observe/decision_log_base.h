// Log lines and metrics about the decisions of a node for batch jobs.
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
#include "core/token_bucket_base.h"
#include "nlohmann/json_fwd.hpp"
#include "ports/clock_port.h"

namespace mangohall::batch {

// Counts each decision and logs it as one JSON line, except allocation rounds that take little time. Also measures how
// long events wait and take, and logs slow ones. Lines that exceed a rate limit are dropped and counted; lines about
// single runs and requests have a limit of their own, so that many of them displace no others. Logging never blocks.
// Safe to call from several threads.
class DecisionLog : public ObserverPort {
public:
    // `self` is the name of the node that each line has. The clock has to outlive the log.
    DecisionLog(NodeName self, const Clock& clock);

    void observe(const DecisionEffect& decision) override;
    void observeEvent(const EventTiming& timing) override;

    // Logs an event of the process itself, for example its start, stop or reload, regardless of the rate limit. `event`
    // is the name of the event, `detail` its reason.
    void logProcessEvent(absl::string_view event, absl::string_view detail);

    // All metrics counted so far, in the text format of Prometheus.
    std::string metricsText() const;

private:
    // The metrics of one kind of decision.
    struct Series {
        // The number of decisions with each outcome.
        std::map<std::string, std::uint64_t> outcomes;
        // The ages or durations that decisions have, see `DecisionEffect::age`.
        DurationHistogram durations;
    };

    // The series of one kind of decision with its lock.
    struct Shard {
        mutable absl::Mutex mutex;
        Series series ABSL_GUARDED_BY(mutex);
    };

    // The number of enumerators of `DecisionEffect::Kind`.
    static constexpr std::size_t kindCount = static_cast<std::size_t>(DecisionEffect::Kind::OwnerBehind) + 1;

    // Adds the name of the node and the time to the line and logs it.
    void write(nlohmann::json line, absl::Time now) const;
    // Whether the rate limit admits another line, of the frequent kinds or of the others; counts a dropped line
    // otherwise.
    bool mayWriteLine(bool isFrequent, absl::Time now);
    // Adds the decision to the metrics.
    void count(const DecisionEffect& decision);

    const NodeName m_self;
    const Clock& m_clock;
    std::array<Shard, kindCount> m_shards;
    EventLoad m_eventLoad;
    mutable absl::Mutex m_rateMutex;
    TokenBucket m_frequentLines ABSL_GUARDED_BY(m_rateMutex);
    TokenBucket m_otherLines ABSL_GUARDED_BY(m_rateMutex);
    // Lines dropped because of the rate limit.
    std::uint64_t m_droppedLines ABSL_GUARDED_BY(m_rateMutex) = 0;
};

// Sets up logging of unmodified lines to standard output by a separate thread. Lines are dropped while the queue of
// that thread is full.
void setUpLineLogging();

// Writes the lines that are queued and ends logging. Returns whether that was done within the timeout: it is not while
// the reader of standard output does not read.
bool finishLineLogging(absl::Duration timeout);

} // namespace mangohall::batch
