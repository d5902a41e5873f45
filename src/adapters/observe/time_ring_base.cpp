#include "adapters/observe/time_ring_base.h"

#include <algorithm>

namespace mangohall {

namespace {

// The bucket number of an unused slot.
constexpr std::int64_t noBucket = -1;
constexpr int missedColumn = 0;
constexpr int withinColumn = 1;
constexpr int columnCount = 2;

} // namespace

TimeRing::TimeRing(absl::Duration bucketWidth, int bucketCount)
    : m_bucketWidth(bucketWidth)
    , m_counts(std::make_tuple(SlotAxis(0, bucketCount), SlotAxis(0, columnCount)))
    , m_numbers(static_cast<std::size_t>(bucketCount), noBucket)
{
}

void TimeRing::add(absl::Time now, bool isWithin)
{
    const int slot = claimSlot(bucketNumberAt(now));
    if (slot >= 0)
        ++m_counts.at(slot, isWithin ? withinColumn : missedColumn);
}

void TimeRing::merge(absl::Span<const TimeBucket> buckets)
{
    for (const TimeBucket& bucket : buckets) {
        const int slot = claimSlot(bucket.number);
        if (slot < 0)
            continue;
        m_counts.at(slot, withinColumn) += static_cast<std::uint32_t>(bucket.count.within);
        m_counts.at(slot, missedColumn) += static_cast<std::uint32_t>(bucket.count.missed);
    }
}

ObjectiveCount TimeRing::sum(absl::Time now, absl::Duration window) const
{
    const std::int64_t last = bucketNumberAt(now);
    const std::int64_t first = last - window / m_bucketWidth + 1;
    ObjectiveCount total;
    for (std::size_t slot = 0; slot < m_numbers.size(); ++slot) {
        if (m_numbers[slot] == noBucket || m_numbers[slot] < first || m_numbers[slot] > last)
            continue;
        const ObjectiveCount count = countAt(static_cast<int>(slot));
        total.within += count.within;
        total.missed += count.missed;
    }
    return total;
}

std::vector<TimeBucket> TimeRing::buckets() const
{
    std::vector<TimeBucket> buckets;
    for (std::size_t slot = 0; slot < m_numbers.size(); ++slot) {
        if (m_numbers[slot] != noBucket)
            buckets.push_back({ m_numbers[slot], countAt(static_cast<int>(slot)) });
    }
    std::sort(buckets.begin(), buckets.end(),
        [](const TimeBucket& left, const TimeBucket& right) { return left.number < right.number; });
    return buckets;
}

std::int64_t TimeRing::bucketNumberAt(absl::Time time) const
{
    return (time - absl::UnixEpoch()) / m_bucketWidth;
}

int TimeRing::claimSlot(std::int64_t number)
{
    if (number < 0)
        return -1;
    const std::size_t slot = static_cast<std::size_t>(number) % m_numbers.size();
    if (m_numbers[slot] > number)
        return -1;
    if (m_numbers[slot] < number) {
        m_numbers[slot] = number;
        m_counts.at(static_cast<int>(slot), withinColumn) = 0;
        m_counts.at(static_cast<int>(slot), missedColumn) = 0;
    }
    return static_cast<int>(slot);
}

ObjectiveCount TimeRing::countAt(int slot) const
{
    return { m_counts.at(slot, withinColumn), m_counts.at(slot, missedColumn) };
}

} // namespace mangohall
