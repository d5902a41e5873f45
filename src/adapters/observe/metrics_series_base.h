// Series of measurements by kind of observation, organisation and service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "adapters/observe/table/objective_table.h"
#include "adapters/observe/time_ring_base.h"
#include "boost/histogram.hpp"
#include "core/name_type.h"
#include "node/event_type.h"

namespace mangohall {

// Logarithmic bins of seconds.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram
    = boost::histogram::histogram<std::tuple<LatencyAxis>, boost::histogram::dense_storage<std::uint64_t>>;

// The key of a series.
struct SeriesKey {
    ObservationEffect::Kind kind = ObservationEffect::Kind::JobEnded;
    OrganisationName organisation;
    ServiceName service;

    // The linter mistakes the literal zero in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
    friend bool operator==(const SeriesKey&, const SeriesKey&) = default;
};

// The observations of one key: the number with each outcome and a histogram of the durations. Not safe to call from
// several threads.
class LatencySeries {
public:
    LatencySeries();

    void add(const ObservationEffect& observation);
    // Adds the observations of another series.
    void merge(const LatencySeries& other);

    // The number of observations with each outcome.
    const std::map<ErrorKind, std::uint64_t>& outcomes() const { return m_outcomes; }
    // The histogram of durations, in seconds.
    const LatencyHistogram& seconds() const { return m_seconds; }
    // The sum of all durations, in seconds.
    double totalSeconds() const { return m_totalSeconds; }

private:
    std::map<ErrorKind, std::uint64_t> m_outcomes;
    LatencyHistogram m_seconds;
    double m_totalSeconds = 0;
};

// The events within an objective and those that missed it, over time. Fine buckets serve the short windows, coarse ones
// the long windows and the budget period. Not safe to call from several threads.
class ObjectiveSeries {
public:
    ObjectiveSeries();

    // Counts one event at the time.
    void add(absl::Time now, bool isWithin);
    // Adds the events of another series.
    void merge(const ObjectiveSeries& other);

    // The events in the window that ends now, counted with the finest buckets that cover the window.
    ObjectiveCount sum(absl::Time now, absl::Duration window) const;

private:
    TimeRing m_fine;
    TimeRing m_coarse;
};

// The objective that observations of the kind are counted for; null if there is none.
const ObjectiveRow* objectiveOf(ObservationEffect::Kind kind);

// Whether the observation meets the objective.
bool isWithin(const ObjectiveRow& objective, const ObservationEffect& observation);

// A copy of all series at one time.
struct MetricsSnapshot {
    absl::Time takenAt;
    std::map<SeriesKey, LatencySeries> latencies;
    std::map<SeriesKey, ObjectiveSeries> objectives;
};

// Adds all series of `source` to those of `target`.
void mergeInto(MetricsSnapshot& target, const MetricsSnapshot& source);

} // namespace mangohall
