// Part 0 of every node: membership, the applied configuration, and the directory that the other parts use.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "configuration/applied_revision_tracker_base.h"
#include "configuration/configuration_view_base.h"
#include "core/seeded_random_base.h"
#include "membership/member_registration_base.h"
#include "membership/prefix_watch_base.h"
#include "node/node_factory_func.h"
#include "node/node_part_base.h"
#include "node/operator_request_handler_base.h"

namespace mangohall {

// Registers the node as a member, follows the records of members, owners and declared resources in the store, and sends
// each change to the other parts as a snapshot. Reports the applied configuration revision to the other members, and
// serves the requests of operators.
class DirectoryPart : public NodePart {
public:
    DirectoryPart(const NodeSettings& settings, std::size_t partCount, std::uint64_t seed);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void start(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleEvent(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handlePeerMessage(const PeerMessage& message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleCallerGone(const CallerDisconnectedEvent& event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyClusterChange(const PrefixChange& change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyClusterEntry(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Removes the members that are missing from a complete list.
    void removeMissing(const PrefixChange& change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Builds a new directory snapshot and sends it to the other parts.
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void notifyParts(const Event& event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Reports the applied configuration revision to every other member.
    void reportRevision() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Starts the graceful shutdown: marks the member record as leaving and notifies the other parts.
    void startDraining(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Marks a part as drained. Once all parts are, unregisters the node and reports that it may exit.
    void markPartDrained(PartIndex part) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_self;
    const std::size_t m_partCount;
    absl::Mutex m_mutex;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    Effects m_effects ABSL_GUARDED_BY(m_mutex);
    MemberRegistration m_registration ABSL_GUARDED_BY(m_mutex);
    // Follows the records of members and owners.
    PrefixWatch m_clusterWatch ABSL_GUARDED_BY(m_mutex);
    // Follows the declared resources.
    PrefixWatch m_configWatch ABSL_GUARDED_BY(m_mutex);
    ConfigurationView m_configuration ABSL_GUARDED_BY(m_mutex);
    AppliedRevisionTracker m_appliedRevisions ABSL_GUARDED_BY(m_mutex);
    OperatorRequestHandler m_operatorRequests ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<NodeName, Member> m_members ABSL_GUARDED_BY(m_mutex);
    // The store revision of each member's record. A node that restarts writes its record again, with a larger revision.
    absl::flat_hash_map<NodeName, Revision> m_memberRevisions ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ShardName, ShardOwner> m_owners ABSL_GUARDED_BY(m_mutex);
    // The free capacity that each building shard last reported.
    absl::flat_hash_map<ShardName, CapacitySummary> m_capacities ABSL_GUARDED_BY(m_mutex);
    // The latest snapshot sent to the other parts.
    DirectorySnapshot m_directory ABSL_GUARDED_BY(m_mutex);
    bool m_isStarted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    // For each part, whether it is drained.
    std::vector<bool> m_drainedParts ABSL_GUARDED_BY(m_mutex);
    // The number of periodic revision reports.
    int m_reportCount ABSL_GUARDED_BY(m_mutex) = 0;
    // When the next periodic revision report is due.
    absl::Time m_reportAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    // The wake-up time last requested from the runtime.
    absl::Time m_requestedWake ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace mangohall
