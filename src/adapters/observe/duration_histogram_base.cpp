#include "adapters/observe/duration_histogram_base.h"

#include "absl/strings/str_cat.h"

namespace mangohall::batch {

namespace {

constexpr unsigned binCount = 40;
constexpr double minSeconds = 0.0005;
constexpr double maxSeconds = 120;

} // namespace

DurationHistogram::DurationHistogram()
    : m_bins(std::make_tuple(Axis(binCount, minSeconds, maxSeconds)))
{
}

void DurationHistogram::add(absl::Duration duration)
{
    const double seconds = absl::ToDoubleSeconds(duration);
    m_bins(seconds);
    m_totalSeconds += seconds;
    ++m_count;
}

void DurationHistogram::appendTo(std::string& text, absl::string_view name, absl::string_view labels) const
{
    if (m_count == 0)
        return;
    // The bucket of an upper bound also counts the durations below the first bin.
    std::uint64_t cumulativeCount = m_bins.at(-1);
    for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
        const std::uint64_t binEntries = m_bins.at(bin);
        cumulativeCount += binEntries;
        if (binEntries != 0)
            absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"", m_bins.axis(0).bin(bin).upper(), "\"} ",
                cumulativeCount, "\n");
    }
    absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"+Inf\"} ", m_count, "\n");
    absl::StrAppend(&text, name, "_sum{", labels, "} ", m_totalSeconds, "\n");
    absl::StrAppend(&text, name, "_count{", labels, "} ", m_count, "\n");
}

} // namespace mangohall::batch
