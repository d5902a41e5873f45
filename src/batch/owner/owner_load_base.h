#pragma once

#include <cstdint>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/node/event_type.h"
#include "batch/owner/worker_registry_base.h"

namespace mangohall::batch {

// Observes whether an owner keeps up with its work. Not safe to call from several threads.
class OwnerLoad {
public:
    // `processorShare` is the share of a processor that the node may use.
    explicit OwnerLoad(double processorShare) { m_stats.processorShare = processorShare; }

    // Records when the owner wants to be woken, and that it was woken.
    void recordWakeTime(absl::Time at) { m_wakeAt = at; }
    void recordWake(absl::Time now);
    // Records a call without a reply that the node itself had delayed by so much.
    void recordCallDelay(absl::Duration delay);

    // When `review` has something to do next.
    absl::Time nextReview() const { return m_reviewedAt + reviewPeriod; }
    // Returns how far the owner is behind, at most once in each review period; nothing if it keeps up.
    absl::optional<OwnerLoadStats> review(const WorkerRegistry& workers, absl::Time now);

private:
    static constexpr absl::Duration reviewPeriod = absl::Seconds(1);

    bool isBehind() const;

    absl::Time m_wakeAt = absl::InfiniteFuture();
    absl::Time m_reviewedAt = absl::InfinitePast();
    // The values since the last review.
    OwnerLoadStats m_stats;
};

} // namespace mangohall::batch
