#include "slopes/ledger_driver_base.h"

#include "slopes/sample_func.h"

namespace mangohall {

LedgerDriver::LedgerDriver(std::uint64_t seed)
    : m_random(seed)
    , m_ledger(ledgerShardName(0), 1, m_random, m_outbox)
{
    constexpr int workersPerShard = 8;
    m_ledger.setDirectory(std::make_shared<Directory>(sampleDirectory(1, 1, workersPerShard)), sampleNow());
    m_ledger.load(sampleNow());
    replyToAll();
    m_storeWrites = 0;
}

void LedgerDriver::submit(int index, int tasks)
{
    m_ledger.submit(NodeName("entry-000"), { sampleKey(index), "entry-000/1/1", sampleSpec(tasks) }, sampleNow());
}

void LedgerDriver::end(int index, int tasks)
{
    PartEnded ended;
    ended.attempt = { sampleKey(index), 0 };
    ended.shard = sampleShard(0);
    ended.end = PartEnd::Succeeded;
    for (int task = 0; task < tasks; ++task)
        ended.tasks.push_back(sampleReport(ended.attempt.job, 0, task, TaskState::Succeeded));
    m_ledger.handlePartEnded(ended, sampleNow());
}

void LedgerDriver::replyToAll()
{
    while (true) {
        const std::vector<StoreCall> calls = m_outbox.takeStoreCalls();
        const std::vector<ShardMessage> messages = m_outbox.takeShardMessages();
        m_messages += static_cast<std::int64_t>(messages.size() + m_outbox.takeNodeMessages().size());
        m_outbox.takeObservations();
        if (calls.empty() && messages.empty())
            return;
        for (const ShardMessage& message : messages)
            replyToShardMessage(message);
        for (const StoreCall& call : calls)
            replyToStoreCall(call);
    }
}

void LedgerDriver::replyToStoreCall(const StoreCall& call)
{
    StoreReply reply;
    if (const auto* write = std::get_if<StoreCompareAndSwap>(&call.request)) {
        ++m_storeWrites;
        ++m_revision;
        m_lastBucket = std::get<LedgerBucket>(write->value);
    }
    reply.revision = m_revision;
    m_ledger.handleStoreReply(call.call, reply, sampleNow());
}

void LedgerDriver::replyToShardMessage(const ShardMessage& message)
{
    if (const auto* reserve = std::get_if<ReserveCapacity>(&message.payload)) {
        const int tasks = reserve->spec.shape.tasks;
        const std::vector<TaskPlacement> placement = samplePlacement(message.to, reserve->firstTask, tasks);
        m_ledger.handleCapacityHeld({ reserve->attempt, message.to, placement }, sampleNow());
    } else if (const auto* start = std::get_if<StartAttempt>(&message.payload)) {
        m_ledger.handleAttemptPrepared({ start->attempt, message.to }, sampleNow());
    }
}

} // namespace mangohall
