// A part of a scheduler: the shards that hash to it, each with its claim and, while it is owned, its state.
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

// A shard as this node sees it. While the node owns it, there is a ledger for a ledger shard or a dispatcher for a
// building shard; otherwise there is neither.
struct ShardSlot {
    std::unique_ptr<ShardClaim> claim;
    std::unique_ptr<JobLedger> ledger;
    std::unique_ptr<Dispatcher> dispatcher;
};

// Claims the shards that this node should own, passes messages and replies to their ledgers and dispatchers, and hands
// the shards over when another node should own them.
class ShardPart : public NodePart {
public:
    // The clock has to outlive the part; it only measures how long scheduling takes.
    ShardPart(
        const NodeSettings& settings, PartIndex index, std::size_t partCount, std::uint64_t seed, const Clock& clock);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void handleEvent(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void setDirectory(const DirectorySnapshot& directory, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Updates the claim of a shard, and opens or closes its state accordingly.
    void reconcileSlot(ShardSlot& slot, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Creates the ledger or dispatcher of a shard that this node has claimed.
    void openSlot(ShardSlot& slot, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Drops the ledger or dispatcher of a shard.
    void closeSlot(ShardSlot& slot) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleWorkerReply(const WorkerEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handlePeerMessage(const PeerMessage& message, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void forwardToLedger(JobLedger& ledger, const PeerMessage& message, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void forwardToDispatcher(Dispatcher& dispatcher, const PeerMessage& message, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleVmList(const VmListEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Requests the VM lists of the owned building shards if they are due.
    void readVmLists(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Notifies part 0, once, that this part owns no shard any more while the node is draining.
    void reportDrained() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // The data centre of a declared building shard; empty for any other shard.
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
    // Every shard that hashes to this part, owned or not.
    absl::btree_map<ShardName, ShardSlot> m_slots ABSL_GUARDED_BY(m_mutex);
    // The free capacity that each building shard last reported, for ledgers that are opened later.
    ShardCapacities m_capacities ABSL_GUARDED_BY(m_mutex);
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrainReported ABSL_GUARDED_BY(m_mutex) = false;
    // When the VM lists are read next.
    absl::Time m_vmListAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    // The wake-up time last requested from the runtime.
    absl::Time m_requestedWake ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

// The part of a node that holds the shard, among `partCount` parts of which the first is the directory part.
PartIndex partOfShard(const ShardName& shard, std::size_t partCount);

} // namespace mangohall
