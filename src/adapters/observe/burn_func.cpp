#include "adapters/observe/burn_func.h"

#include <string>

namespace mangohall {

namespace {

// The plot of recent burn rates has 72 points, each over a window of 5 minutes: six hours in all.
constexpr absl::Duration plotWindow = absl::Minutes(5);
constexpr int plotPointCount = 72;

std::string toString(absl::string_view text)
{
    return std::string(text);
}

WindowBurn windowBurn(const ObjectiveSeries& series, const BurnWindowRow& windows, double target, absl::Time now)
{
    WindowBurn burn;
    burn.windows = windows;
    burn.shortRate = burnRate(series.sum(now, windows.shortWindow), target);
    burn.longRate = burnRate(series.sum(now, windows.longWindow), target);
    burn.isBurning = burn.shortRate >= windows.threshold && burn.longRate >= windows.threshold;
    return burn;
}

BurnRow burnRow(const SeriesKey& key, const ObjectiveSeries& series, const ObjectiveRow& objective, absl::Time now)
{
    BurnRow row { objective, key.organisation, key.service, series.sum(now, budgetPeriod), {}, 1, {} };
    row.budgetLeft = 1 - burnRate(row.count, objective.target);
    for (const BurnWindowRow& windows : burnWindowTable)
        row.windows.push_back(windowBurn(series, windows, objective.target, now));
    for (int age = plotPointCount - 1; age >= 0; --age)
        row.recentRates.push_back(burnRate(series.sum(now - age * plotWindow, plotWindow), objective.target));
    return row;
}

nlohmann::json toJson(const WindowBurn& burn)
{
    return {
        { "shortWindowMs", absl::ToInt64Milliseconds(burn.windows.shortWindow) },
        { "longWindowMs", absl::ToInt64Milliseconds(burn.windows.longWindow) },
        { "threshold", burn.windows.threshold },
        { "shortRate", burn.shortRate },
        { "longRate", burn.longRate },
        { "isBurning", burn.isBurning },
    };
}

nlohmann::json toJson(const BurnRow& row)
{
    nlohmann::json windows = nlohmann::json::array();
    for (const WindowBurn& burn : row.windows)
        windows.push_back(toJson(burn));
    nlohmann::json json = {
        { "objective", toString(row.objective.name) },
        { "organisation", row.organisation.str() },
        { "service", row.service.str() },
        { "target", row.objective.target },
        { "events", row.count.within + row.count.missed },
        { "missed", row.count.missed },
        { "windows", windows },
        { "budgetLeft", row.budgetLeft },
    };
    if (row.objective.bound != absl::InfiniteDuration())
        json["boundMs"] = absl::ToInt64Milliseconds(row.objective.bound);
    return json;
}

} // namespace

double burnRate(const ObjectiveCount& count, double target)
{
    const std::uint64_t events = count.within + count.missed;
    if (events == 0)
        return 0;
    const double missedShare = static_cast<double>(count.missed) / static_cast<double>(events);
    return missedShare / (1 - target);
}

std::vector<BurnRow> burnRows(const MetricsSnapshot& snapshot)
{
    std::vector<BurnRow> rows;
    for (const auto& [key, series] : snapshot.objectives) {
        const ObjectiveRow* objective = objectiveOf(key.kind);
        if (objective != nullptr)
            rows.push_back(burnRow(key, series, *objective, snapshot.takenAt));
    }
    return rows;
}

nlohmann::json toJson(absl::Span<const BurnRow> rows, absl::Time takenAt)
{
    nlohmann::json objectives = nlohmann::json::array();
    for (const BurnRow& row : rows)
        objectives.push_back(toJson(row));
    return {
        { "takenAt", absl::FormatTime(absl::RFC3339_sec, takenAt, absl::UTCTimeZone()) },
        { "budgetPeriodMs", absl::ToInt64Milliseconds(budgetPeriod) },
        { "objectives", objectives },
    };
}

} // namespace mangohall
