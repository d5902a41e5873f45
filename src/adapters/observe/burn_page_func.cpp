#include "adapters/observe/burn_page_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace mangohall {

namespace {

constexpr int plotWidthPixels = 360;
constexpr int plotHeightPixels = 40;

constexpr absl::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: right; }
th, td.name { text-align: left; }
.burning { background: #f8c8c8; }
</style></head><body>
)";

constexpr absl::string_view pageEnd = "</table></body></html>\n";

std::string escaped(absl::string_view text)
{
    return absl::StrReplaceAll(
        text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" }, { "'", "&#39;" } });
}

// A table cell with a name, escaped for HTML.
std::string nameCell(absl::string_view name)
{
    return absl::StrCat("<td class=\"name\">", escaped(name), "</td>");
}

// An SVG plot with a line from the oldest value to the newest. The dashed line marks a rate of 1.
std::string plot(absl::Span<const double> values)
{
    const double peak = std::max(1.0, values.empty() ? 0.0 : *std::max_element(values.begin(), values.end()));
    const double pointDistance
        = static_cast<double>(plotWidthPixels) / static_cast<double>(std::max<std::size_t>(values.size(), 2) - 1);
    std::string points;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double height = plotHeightPixels * (1 - values[i] / peak);
        absl::StrAppendFormat(&points, "%.1f,%.1f ", static_cast<double>(i) * pointDistance, height);
    }
    const double heightOfOne = plotHeightPixels * (1 - 1 / peak);
    return absl::StrFormat("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"burn rate, peak %.1f\">"
                           "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#888\" stroke-dasharray=\"4\"/>"
                           "<polyline fill=\"none\" stroke=\"#b03030\" stroke-width=\"1.5\" points=\"%s\"/></svg>",
        plotWidthPixels, plotHeightPixels, peak, plotWidthPixels, heightOfOne, heightOfOne, points);
}

// A table cell with the burn rates over the short and the long window.
std::string windowCell(const WindowBurn& burn)
{
    return absl::StrFormat(
        "<td%s>%.2f / %.2f</td>", burn.isBurning ? " class=\"burning\"" : "", burn.shortRate, burn.longRate);
}

std::string tableHead()
{
    std::string head
        = "<table><tr><th>Objective</th><th>Organisation</th><th>Service</th><th>Target</th><th>Events</th>"
          "<th>Missed</th>";
    for (const BurnWindowRow& windows : burnWindowTable) {
        absl::StrAppend(&head, "<th>Burn ", absl::FormatDuration(windows.shortWindow), " / ",
            absl::FormatDuration(windows.longWindow), "</th>");
    }
    return absl::StrCat(head, "<th>Budget left</th><th>Burn over six hours</th></tr>\n");
}

std::string tableRow(const BurnRow& row)
{
    std::string text = absl::StrCat(
        "<tr>", nameCell(row.objective.name), nameCell(row.organisation.text()), nameCell(row.service.text()));
    absl::StrAppendFormat(&text, "<td>%.3f%%</td><td>%d</td><td>%d</td>", row.objective.target * 100,
        row.count.within + row.count.missed, row.count.missed);
    for (const WindowBurn& burn : row.windows)
        text += windowCell(burn);
    absl::StrAppendFormat(&text, "<td>%.1f%%</td><td>", row.budgetLeft * 100);
    return absl::StrCat(text, plot(row.recentRates), "</td></tr>\n");
}

} // namespace

std::string toPage(absl::Span<const BurnRow> rows, absl::Time takenAt)
{
    std::string page(pageHead);
    absl::StrAppend(&page, "<h1>Service-level burn</h1><p>Taken at ",
        absl::FormatTime(absl::RFC3339_sec, takenAt, absl::UTCTimeZone()),
        ". A rate of 1 spends the error budget in 30 days. A pair of windows burns once both rates reach its "
        "threshold.</p>\n",
        tableHead());
    for (const BurnRow& row : rows)
        page += tableRow(row);
    return absl::StrCat(page, pageEnd);
}

} // namespace mangohall
