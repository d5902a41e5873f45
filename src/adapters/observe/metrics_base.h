// Metrics of a node.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "adapters/observe/metrics_series_base.h"
#include "adapters/observe/report_source_port.h"
#include "ports/clock_port.h"
#include "ports/observer_port.h"

namespace mangohall {

// A metric whose value is read when the metrics are requested.
struct Gauge {
    // The name of the metric.
    std::string name;
    // The description in the HELP line.
    std::string help;
    // Returns the current value. Must be safe to call from any thread.
    std::function<double()> read;
};

// Collects the observations of a node and reports them as metrics and burn rates. The series are divided into shards,
// each with its own lock. Safe to call from several threads.
class Metrics : public ObserverPort, public ReportSource {
public:
    // The clock has to outlive the metrics.
    explicit Metrics(const Clock& clock);

    void observe(const ObservationEffect& observation) override;

    // Adds a gauge to the metrics. The objects that it reads have to outlive the last call of `metricsText`.
    void addGauge(Gauge gauge);

    // A copy of all series.
    MetricsSnapshot snapshot() const;

    // Adds the series of another node.
    void merge(const MetricsSnapshot& other);

    std::string metricsText() const override;
    nlohmann::json burnReport() const override;
    std::string burnPage() const override;

private:
    // A subset of the series with its lock. `MetricsSnapshot::takenAt` is unused here.
    struct Shard {
        mutable absl::Mutex mutex;
        MetricsSnapshot series ABSL_GUARDED_BY(mutex);
    };

    static constexpr std::size_t shardCount = 16;

    // The shard that holds the series of the key.
    Shard& shardOf(const SeriesKey& key);

    const Clock& m_clock;
    std::array<Shard, shardCount> m_shards;
    mutable absl::Mutex m_gaugeMutex;
    std::vector<Gauge> m_gauges ABSL_GUARDED_BY(m_gaugeMutex);
};

} // namespace mangohall
