#include "node/outbox_func.h"

namespace mangohall {

namespace {

void appendSend(const NodeName& to, const ShardName& shard, PeerPayload payload, const Directory& directory,
    const Member& self, Effects& effects)
{
    SendEffect send;
    send.to = to;
    if (to != self.node) {
        const auto member = directory.members.find(to);
        if (member == directory.members.end())
            return;
        send.address = member->second.address;
    }
    send.message = { self.node, shard, std::move(payload) };
    effects.push_back(std::move(send));
}

} // namespace

NodeName ownerOf(const Directory& directory, const ShardName& shard)
{
    const auto owner = directory.owners.find(shard);
    if (owner == directory.owners.end())
        return NodeName();
    const NodeName& node = owner->second.record.node;
    return directory.members.contains(node) ? node : NodeName();
}

void appendEffects(Outbox& outbox, const Directory& directory, const Member& self, Effects& effects)
{
    for (StoreCall& call : outbox.takeStoreCalls())
        effects.push_back(StoreEffect { call.call, std::move(call.request) });
    for (OutgoingWorkerCall& call : outbox.takeWorkerCalls())
        effects.push_back(WorkerEffect { call.worker, std::move(call.address), call.call, std::move(call.request) });
    for (ShardMessage& message : outbox.takeShardMessages()) {
        const NodeName owner = ownerOf(directory, message.to);
        if (!owner.empty())
            appendSend(owner, message.to, std::move(message.payload), directory, self, effects);
    }
    for (NodeMessage& message : outbox.takeNodeMessages())
        appendSend(message.to, ShardName(), std::move(message.payload), directory, self, effects);
    for (ObservationEffect& observation : outbox.takeObservations())
        effects.push_back(std::move(observation));
}

} // namespace mangohall
