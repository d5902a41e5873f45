// Part 0 of every node: membership, the configuration in force, and what the other parts know of the system.
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
#include "node/operator_desk_base.h"

namespace mangohall {

// Registers the node, follows the cluster's records and the declared configuration, and hands every change to the other
// parts as a snapshot. Tells the other members which revision is in force here.
class DirectoryPart : public NodePart {
public:
    DirectoryPart(const NodeSettings& settings, std::size_t partCount, std::uint64_t seed);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void start(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void take(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void storeReplied(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void peerTold(const PeerMessage& message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void callerGone(const CallerGoneEvent& event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void clusterChanged(const PrefixChange& change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyClusterEntry(const StoreEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void removeMissing(const PrefixChange& change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void notifyParts(const Event& event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reportRevision() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void drain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void partDrained(PartIndex part) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_self;
    const std::size_t m_partCount;
    absl::Mutex m_mutex;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    Effects m_effects ABSL_GUARDED_BY(m_mutex);
    MemberRegistration m_registration ABSL_GUARDED_BY(m_mutex);
    PrefixWatch m_clusterWatch ABSL_GUARDED_BY(m_mutex);
    PrefixWatch m_configWatch ABSL_GUARDED_BY(m_mutex);
    ConfigurationView m_configuration ABSL_GUARDED_BY(m_mutex);
    AppliedRevisionTracker m_appliedRevisions ABSL_GUARDED_BY(m_mutex);
    OperatorDesk m_desk ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<NodeName, Member> m_members ABSL_GUARDED_BY(m_mutex);
    // When each member's record was last written: a node that starts afresh writes it anew.
    absl::flat_hash_map<NodeName, Revision> m_memberRevisions ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ShardName, ShardOwner> m_owners ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ShardName, CapacitySummary> m_capacities ABSL_GUARDED_BY(m_mutex);
    DirectorySnapshot m_directory ABSL_GUARDED_BY(m_mutex);
    bool m_isStarted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<bool> m_drainedParts ABSL_GUARDED_BY(m_mutex);
    int m_reportCount ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Time m_reportAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    absl::Time m_wokenAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace mangohall
