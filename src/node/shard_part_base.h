// A part of a scheduler: the shards that hash to it, each with its claim and, while owned, its state.
#pragma once

#include <memory>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/btree_map.h"
#include "absl/synchronization/mutex.h"
#include "core/seeded_random_base.h"
#include "dispatch/dispatcher_base.h"
#include "job/job_ledger_base.h"
#include "membership/shard_claim_base.h"
#include "node/node_factory_func.h"
#include "node/node_part_base.h"

namespace mangohall {

// A shard as this node sees it. At most one of the ledger and the dispatcher is there, and only while it is owned.
struct ShardSlot {
    std::unique_ptr<ShardClaim> claim;
    std::unique_ptr<JobLedger> ledger;
    std::unique_ptr<Dispatcher> dispatcher;
};

class ShardPart : public NodePart {
public:
    // The clock has to outlive the part.
    ShardPart(
        const NodeSettings& settings, PartIndex index, std::size_t partCount, std::uint64_t seed, const Clock& clock);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void take(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void directoryChanged(const DirectorySnapshot& directory, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reconcileSlot(ShardSlot& slot, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void openSlot(ShardSlot& slot, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void closeSlot(ShardSlot& slot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void storeReplied(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void workerReplied(const WorkerEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void peerTold(const PeerMessage& message, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void tellLedger(JobLedger& ledger, const PeerMessage& message, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void tellDispatcher(Dispatcher& dispatcher, const PeerMessage& message, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void vmsRead(const VmListEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void readVmLists(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reportDrained() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    DataCentreName dataCentreOf(const ShardName& shard) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_self;
    const Clock& m_clock;
    const PartIndex m_index;
    const std::size_t m_partCount;
    absl::Mutex m_mutex;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    Effects m_effects ABSL_GUARDED_BY(m_mutex);
    DirectorySnapshot m_directory ABSL_GUARDED_BY(m_mutex);
    absl::btree_map<ShardName, ShardSlot> m_slots ABSL_GUARDED_BY(m_mutex);
    // The latest room told by each building shard, for ledgers that are opened later.
    ShardCapacities m_capacities ABSL_GUARDED_BY(m_mutex);
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrainReported ABSL_GUARDED_BY(m_mutex) = false;
    absl::Time m_vmListAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    absl::Time m_wokenAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

// The part of a node that keeps the shard, of `partCount` parts whose first is the directory.
PartIndex partOfShard(const ShardName& shard, std::size_t partCount);

} // namespace mangohall
