// Histogram of durations for the metrics page.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boost/histogram.hpp"

namespace mangohall::batch {

// A histogram of durations with logarithmic bins from 0.5 ms to 120 s. Not safe to call from several threads.
class DurationHistogram {
public:
    DurationHistogram();

    void add(absl::Duration duration);
    // The number of durations added.
    std::uint64_t count() const { return m_count; }

    // Appends the series in the text format of Prometheus, or nothing if the histogram is empty. `name` is the name of
    // the metric; `labels` is the list of labels without braces. Bins without entries are left out.
    void appendTo(std::string& text, absl::string_view name, absl::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Bins m_bins;
    double m_totalSeconds = 0;
    std::uint64_t m_count = 0;
};

} // namespace mangohall::batch
