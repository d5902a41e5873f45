#include "batch/owner/owner_load_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// Shorter delays are usual.
constexpr absl::Duration noticeableCallDelay = absl::Milliseconds(100);
constexpr absl::Duration noticeableWakeDelay = absl::Milliseconds(200);
constexpr absl::Duration noticeableStartDelay = absl::Milliseconds(500);

} // namespace

void OwnerLoad::recordWake(absl::Time now)
{
    if (m_wakeAt == absl::InfinitePast() || m_wakeAt == absl::InfiniteFuture())
        return;
    m_stats.wakeDelay = std::max(m_stats.wakeDelay, now - m_wakeAt);
}

void OwnerLoad::recordCallDelay(absl::Duration delay)
{
    if (delay < noticeableCallDelay)
        return;
    ++m_stats.delayedCalls;
    m_stats.callDelay = std::max(m_stats.callDelay, delay);
}

bool OwnerLoad::isBehind() const
{
    return m_stats.wakeDelay >= noticeableWakeDelay || m_stats.delayedCalls > 0
        || m_stats.oldestUnsentStart >= noticeableStartDelay;
}

absl::optional<OwnerLoadStats> OwnerLoad::review(const WorkerRegistry& workers, absl::Time now)
{
    if (now < nextReview())
        return absl::nullopt;
    m_reviewedAt = now;
    const UnsentStarts unsent = workers.unsentStarts();
    m_stats.pendingCalls = workers.pendingCallCount();
    m_stats.unsentStarts = unsent.released;
    m_stats.oldestUnsentStart = unsent.released == 0 ? absl::ZeroDuration() : now - unsent.oldestSince;
    const bool wasBehind = isBehind();
    const OwnerLoadStats stats = m_stats;
    m_stats = OwnerLoadStats();
    m_stats.processorShare = stats.processorShare;
    return wasBehind ? absl::make_optional(stats) : absl::nullopt;
}

} // namespace mangohall::batch
