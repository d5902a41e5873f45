// Service-level burn rates: how fast each objective consumes its error budget.
#pragma once

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "adapters/observe/metrics_series_base.h"
#include "adapters/observe/table/burn_window_table.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// The burn rates of one objective over one pair of windows.
struct WindowBurn {
    BurnWindowRow windows;
    double shortRate = 0;
    double longRate = 0;
    // True if both rates have reached the threshold.
    bool isBurning = false;
};

// The state of one objective for one organisation and service.
struct BurnRow {
    ObjectiveRow objective;
    OrganisationName organisation;
    ServiceName service;
    // The events in the budget period that ends now.
    ObjectiveCount count;
    // One element for each row of `burnWindowTable`.
    std::vector<WindowBurn> windows;
    // The fraction of the error budget that is left; negative once the budget is exceeded.
    double budgetLeft = 1;
    // Burn rates over consecutive windows of 5 minutes, the oldest first; the last window ends now.
    std::vector<double> recentRates;
};

// The burn rate of the counted events: the fraction of missed events divided by the fraction that the target allows. A
// rate of 1 consumes exactly the error budget. 0 if there are no events.
double burnRate(const ObjectiveCount& count, double target);

// One row for each combination of objective, organisation and service with observations.
std::vector<BurnRow> burnRows(const MetricsSnapshot& snapshot);

// The burn report as JSON.
nlohmann::json toJson(absl::Span<const BurnRow> rows, absl::Time takenAt);

} // namespace mangohall
