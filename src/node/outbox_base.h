// The messages and calls that the aggregates of a part request. The part turns them into effects.
#pragma once

#include <utility>
#include <vector>

#include "node/event_type.h"

namespace mangohall {

// A message to the owner of a shard.
struct ShardMessage {
    ShardName to;
    PeerPayload payload;
};

// A message to a node.
struct NodeMessage {
    NodeName to;
    PeerPayload payload;
};

// A call to the store.
struct StoreCall {
    CallId call = 0;
    StoreRequest request;
};

// A call to a worker.
struct OutgoingWorkerCall {
    WorkerName worker;
    // The address "ip:port" of the worker.
    std::string address;
    CallId call = 0;
    WorkerCall request;
};

// Collects the messages and calls of one part's aggregates and numbers the calls.
class Outbox {
public:
    void toShard(const ShardName& to, PeerPayload payload) { m_shardMessages.push_back({ to, std::move(payload) }); }
    void toNode(const NodeName& to, PeerPayload payload) { m_nodeMessages.push_back({ to, std::move(payload) }); }
    // Adds a call to the store and returns its number.
    CallId toStore(StoreRequest request)
    {
        m_storeCalls.push_back({ ++m_lastCall, std::move(request) });
        return m_lastCall;
    }
    // Adds a call to a worker and returns its number.
    CallId toWorker(const VmEntry& vm, WorkerCall request)
    {
        m_workerCalls.push_back({ vm.worker, vm.address, ++m_lastCall, std::move(request) });
        return m_lastCall;
    }
    void observe(ObservationEffect observation) { m_observations.push_back(std::move(observation)); }

    // Each of these moves out what has been collected and leaves the list empty.
    std::vector<ShardMessage> takeShardMessages() { return std::exchange(m_shardMessages, {}); }
    std::vector<NodeMessage> takeNodeMessages() { return std::exchange(m_nodeMessages, {}); }
    std::vector<StoreCall> takeStoreCalls() { return std::exchange(m_storeCalls, {}); }
    std::vector<OutgoingWorkerCall> takeWorkerCalls() { return std::exchange(m_workerCalls, {}); }
    std::vector<ObservationEffect> takeObservations() { return std::exchange(m_observations, {}); }

private:
    // The number of the latest call; the first call is 1, so that 0 never names a call.
    CallId m_lastCall = 0;
    std::vector<ShardMessage> m_shardMessages;
    std::vector<NodeMessage> m_nodeMessages;
    std::vector<StoreCall> m_storeCalls;
    std::vector<OutgoingWorkerCall> m_workerCalls;
    std::vector<ObservationEffect> m_observations;
};

} // namespace mangohall
