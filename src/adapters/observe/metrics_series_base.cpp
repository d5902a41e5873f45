#include "adapters/observe/metrics_series_base.h"

namespace mangohall {

namespace {

constexpr int latencyBins = 32;
constexpr double minLatencySeconds = 0.001;
constexpr double maxLatencySeconds = 100000;
// The fine buckets reach back 6 hours, the coarse ones 30 days.
constexpr absl::Duration fineBucketWidth = absl::Minutes(1);
constexpr int fineBucketCount = 360;
constexpr absl::Duration coarseBucketWidth = absl::Hours(1);
constexpr int coarseBucketCount = 720;

} // namespace

LatencySeries::LatencySeries()
    : m_seconds(std::make_tuple(LatencyAxis(latencyBins, minLatencySeconds, maxLatencySeconds)))
{
}

void LatencySeries::add(const ObservationEffect& observation)
{
    const double seconds = absl::ToDoubleSeconds(observation.duration);
    ++m_outcomes[observation.outcome];
    m_seconds(seconds);
    m_totalSeconds += seconds;
}

void LatencySeries::merge(const LatencySeries& other)
{
    for (const auto& [outcome, count] : other.m_outcomes)
        m_outcomes[outcome] += count;
    m_seconds += other.m_seconds;
    m_totalSeconds += other.m_totalSeconds;
}

ObjectiveSeries::ObjectiveSeries()
    : m_fine(fineBucketWidth, fineBucketCount)
    , m_coarse(coarseBucketWidth, coarseBucketCount)
{
}

void ObjectiveSeries::add(absl::Time now, bool isWithin)
{
    m_fine.add(now, isWithin);
    m_coarse.add(now, isWithin);
}

void ObjectiveSeries::merge(const ObjectiveSeries& other)
{
    m_fine.merge(other.m_fine.buckets());
    m_coarse.merge(other.m_coarse.buckets());
}

ObjectiveCount ObjectiveSeries::sum(absl::Time now, absl::Duration window) const
{
    const bool isFine = window <= fineBucketWidth * fineBucketCount;
    return isFine ? m_fine.sum(now, window) : m_coarse.sum(now, window);
}

const ObjectiveRow* objectiveOf(ObservationEffect::Kind kind)
{
    for (const ObjectiveRow& row : objectiveTable) {
        if (row.kind == kind)
            return &row;
    }
    return nullptr;
}

bool isWithin(const ObjectiveRow& objective, const ObservationEffect& observation)
{
    return observation.isWithinObjective && observation.duration <= objective.bound;
}

void mergeInto(MetricsSnapshot& target, const MetricsSnapshot& source)
{
    for (const auto& [key, series] : source.latencies)
        target.latencies[key].merge(series);
    for (const auto& [key, series] : source.objectives)
        target.objectives[key].merge(series);
}

} // namespace mangohall
