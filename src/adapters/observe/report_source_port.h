#pragma once

#include <string>

#include "nlohmann/json.hpp"

namespace mangohall {

// Source of the reports on a node's measurements that a front end serves.
class ReportSource {
public:
    virtual ~ReportSource() = default;

    // All metrics in the text exposition format of Prometheus.
    virtual std::string metricsText() const = 0;
    // The burn report: for each objective its target, events, burn rates over the windows and remaining budget.
    virtual nlohmann::json burnReport() const = 0;
    // The burn report as a self-contained HTML page with plots.
    virtual std::string burnPage() const = 0;
};

} // namespace mangohall
