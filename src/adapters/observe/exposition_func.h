// Metrics in the text exposition format of Prometheus.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "adapters/observe/metrics_series_base.h"

namespace mangohall {

// A gauge with its current value.
struct GaugeReading {
    // The name of the metric.
    std::string name;
    // The description in the HELP line.
    std::string help;
    double value = 0;
};

// Formats the series of the snapshot and the gauges.
std::string expositionText(const MetricsSnapshot& snapshot, absl::Span<const GaugeReading> gauges);

// The name of a kind of observation in metrics and logs.
absl::string_view observationName(ObservationEffect::Kind kind);

} // namespace mangohall
