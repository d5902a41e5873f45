#include "adapters/api/limit_counts_base.h"

namespace mangohall {

namespace {

constexpr absl::Duration linePeriod = absl::Seconds(1);

} // namespace

LimitCounts::LimitCounts(const Clock& clock)
    : m_clock(clock)
{
}

bool LimitCounts::add(ClientLimit limit)
{
    Row& row = m_rows[static_cast<std::size_t>(limit)];
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&row.mutex);
    ++row.count;
    if (now - row.lastLineAt < linePeriod)
        return false;
    row.lastLineAt = now;
    return true;
}

std::uint64_t LimitCounts::count(ClientLimit limit) const
{
    const Row& row = m_rows[static_cast<std::size_t>(limit)];
    absl::MutexLock lock(&row.mutex);
    return row.count;
}

} // namespace mangohall
