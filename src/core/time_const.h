// The time constants of the system. Safety and the bounds promised to users depend on how they relate to each other.
#pragma once

#include "absl/time/time.h"

namespace mangohall {

// How long a worker keeps a task without a call from the shard's owner.
inline constexpr absl::Duration taskLease = absl::Seconds(30);
// The time added to a lease before the owner considers it lapsed, since clocks drift and calls are delayed.
inline constexpr absl::Duration leaseMargin = absl::Seconds(2);
// The time between two heartbeats to a worker.
inline constexpr absl::Duration workerHeartbeatPeriod = absl::Seconds(1);
// The time without a reply after which a worker gets no new work.
inline constexpr absl::Duration workerSuspectAfter = absl::Seconds(3);
// The timeout of one call to a worker.
inline constexpr absl::Duration workerCallTimeout = absl::Seconds(1);
// The timeout of one call to the store.
inline constexpr absl::Duration storeCallTimeout = absl::Seconds(2);
// The time to live of the lease of a member's record.
inline constexpr absl::Duration memberLease = absl::Seconds(6);
// The time between two renewals of the member's lease.
inline constexpr absl::Duration memberRenewPeriod = absl::Seconds(2);
// The first delay before an unanswered message to a peer is sent again.
inline constexpr absl::Duration peerRetryPeriod = absl::Milliseconds(500);
// How long a building shard holds capacity that is not claimed.
inline constexpr absl::Duration holdTimeout = absl::Seconds(4);
// The time within which an urgent job starts, including the reclaim of its capacity.
inline constexpr absl::Duration urgentStartBound = absl::Milliseconds(5500);
// The time within which an accepted configuration is active on every node.
inline constexpr absl::Duration configInForceBound = absl::Seconds(10);
// The time between two reads of the VM list.
inline constexpr absl::Duration vmListPeriod = absl::Seconds(2);
// How long the record of an ended job is kept, so that its key still refers to the same job.
inline constexpr absl::Duration endedJobRetention = absl::Hours(24);

} // namespace mangohall
