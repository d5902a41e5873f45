// Ring of time buckets that count events; old buckets are overwritten.
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boost/histogram.hpp"

namespace mangohall {

// The number of events within an objective and of events that missed it.
struct ObjectiveCount {
    std::uint64_t within = 0;
    std::uint64_t missed = 0;

    friend bool operator==(const ObjectiveCount&, const ObjectiveCount&) = default;
};

// The counts of one bucket. Buckets are numbered from the Unix epoch, so that the buckets of several nodes can be
// added.
struct TimeBucket {
    std::int64_t number = 0;
    ObjectiveCount count;

    friend bool operator==(const TimeBucket&, const TimeBucket&) = default;
};

// Counts events within and beyond an objective in the latest buckets of equal width. Not safe to call from several
// threads.
class TimeRing {
public:
    // The ring covers a period of `bucketWidth` times `bucketCount`.
    TimeRing(absl::Duration bucketWidth, int bucketCount);

    // Counts one event at the time `now`. It is ignored if its bucket has been overwritten by a newer one.
    void add(absl::Time now, bool isWithin);

    // Adds the buckets of another ring with the same bucket width. Buckets that have been overwritten here are ignored.
    void merge(absl::Span<const TimeBucket> buckets);

    // The events in the last `window / bucketWidth` buckets, the last of which contains the time `now`.
    ObjectiveCount sum(absl::Time now, absl::Duration window) const;

    // All buckets with events, the oldest first.
    std::vector<TimeBucket> buckets() const;

    absl::Duration bucketWidth() const { return m_bucketWidth; }

private:
    using SlotAxis
        = boost::histogram::axis::integer<int, boost::histogram::use_default, boost::histogram::axis::option::none_t>;
    using Counts
        = boost::histogram::histogram<std::tuple<SlotAxis, SlotAxis>, boost::histogram::dense_storage<std::uint32_t>>;

    // The number of the bucket that contains the time.
    std::int64_t bucketNumberAt(absl::Time time) const;
    // The slot of the bucket with the given number, cleared if it held an older bucket. -1 if it holds a newer bucket
    // or the number is negative.
    int claimSlot(std::int64_t number);
    ObjectiveCount countAt(int slot) const;

    absl::Duration m_bucketWidth;
    // The counts, by slot and by missed or within.
    Counts m_counts;
    // The number of the bucket that each slot holds; -1 for an unused slot.
    std::vector<std::int64_t> m_numbers;
};

} // namespace mangohall
