// Drives a ledger shard and simulates the store and the building shards.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/seeded_random_base.h"
#include "job/job_ledger_base.h"

namespace mangohall {

// Every request for capacity is granted. A job runs until end() is called and then succeeds.
class LedgerDriver {
public:
    explicit LedgerDriver(std::uint64_t seed);

    // Submits a job with `tasks` tasks. `index` makes the job's key.
    void submit(int index, int tasks);
    // Reports to the ledger that every task of the job has succeeded.
    void end(int index, int tasks);
    // Replies to calls and messages of the ledger until none is left.
    void replyToAll();

    // Writes since the ledger was loaded.
    std::int64_t storeWrites() const { return m_storeWrites; }
    // Messages that the ledger has sent to shards and nodes.
    std::int64_t messages() const { return m_messages; }
    // The bucket that was written last.
    const LedgerBucket& lastBucket() const { return m_lastBucket; }
    // Jobs in the ledger, ended ones that it still keeps included.
    std::size_t jobCount() const { return m_ledger.jobCount(); }

private:
    void replyToStoreCall(const StoreCall& call);
    void replyToShardMessage(const ShardMessage& message);

    SeededRandom m_random;
    Outbox m_outbox;
    JobLedger m_ledger;
    Revision m_revision = 0;
    std::int64_t m_storeWrites = 0;
    std::int64_t m_messages = 0;
    LedgerBucket m_lastBucket;
};

} // namespace mangohall
