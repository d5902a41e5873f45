#include "adapters/observe/metrics_base.h"

#include <utility>

#include "absl/hash/hash.h"
#include "adapters/observe/burn_func.h"
#include "adapters/observe/burn_page_func.h"
#include "adapters/observe/exposition_func.h"

namespace mangohall {

namespace {

// Organisations and services are declared resources. Their number over the lifetime of a process is not bounded, so the
// number of series has to be.
constexpr std::size_t maxSeriesPerShard = 512;
// The organisation and service of the series that combine all further names.
constexpr absl::string_view overflowName = "other";

// The key itself, or the overflow key if the key is new and the map is full.
template <typename Series> SeriesKey boundedKey(const std::map<SeriesKey, Series>& series, const SeriesKey& key)
{
    if (series.size() < maxSeriesPerShard || series.find(key) != series.end())
        return key;
    return { key.kind, OrganisationName(overflowName), ServiceName(overflowName) };
}

} // namespace

Metrics::Metrics(const Clock& clock)
    : m_clock(clock)
{
}

void Metrics::observe(const ObservationEffect& observation)
{
    const absl::Time now = m_clock.now();
    const SeriesKey key { observation.kind, observation.organisation, observation.service };
    const ObjectiveRow* objective = objectiveOf(observation.kind);
    Shard& shard = shardOf(key);
    absl::MutexLock lock(&shard.mutex);
    shard.series.latencies[boundedKey(shard.series.latencies, key)].add(observation);
    if (objective != nullptr)
        shard.series.objectives[boundedKey(shard.series.objectives, key)].add(now, isWithin(*objective, observation));
}

void Metrics::addGauge(Gauge gauge)
{
    absl::MutexLock lock(&m_gaugeMutex);
    m_gauges.push_back(std::move(gauge));
}

MetricsSnapshot Metrics::snapshot() const
{
    MetricsSnapshot combined;
    combined.takenAt = m_clock.now();
    for (const Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        mergeInto(combined, shard.series);
    }
    return combined;
}

void Metrics::merge(const MetricsSnapshot& other)
{
    for (const auto& [key, series] : other.latencies) {
        Shard& shard = shardOf(key);
        absl::MutexLock lock(&shard.mutex);
        shard.series.latencies[boundedKey(shard.series.latencies, key)].merge(series);
    }
    for (const auto& [key, series] : other.objectives) {
        Shard& shard = shardOf(key);
        absl::MutexLock lock(&shard.mutex);
        shard.series.objectives[boundedKey(shard.series.objectives, key)].merge(series);
    }
}

std::string Metrics::metricsText() const
{
    std::vector<Gauge> gauges;
    {
        absl::MutexLock lock(&m_gaugeMutex);
        gauges = m_gauges;
    }
    std::vector<GaugeReading> readings;
    readings.reserve(gauges.size());
    for (const Gauge& gauge : gauges)
        readings.push_back({ gauge.name, gauge.help, gauge.read() });
    return expositionText(snapshot(), readings);
}

nlohmann::json Metrics::burnReport() const
{
    const MetricsSnapshot measured = snapshot();
    return toJson(burnRows(measured), measured.takenAt);
}

std::string Metrics::burnPage() const
{
    const MetricsSnapshot measured = snapshot();
    return toPage(burnRows(measured), measured.takenAt);
}

Metrics::Shard& Metrics::shardOf(const SeriesKey& key)
{
    const std::size_t hash = absl::HashOf(key.organisation, key.service, key.kind);
    return m_shards.at(hash % shardCount);
}

} // namespace mangohall
