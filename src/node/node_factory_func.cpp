#include "node/node_factory_func.h"

#include "core/hash_func.h"
#include "job/job_func.h"
#include "node/caller_part_base.h"
#include "node/directory_part_base.h"
#include "node/parted_node_base.h"
#include "node/shard_part_base.h"

namespace mangohall {

namespace {

// The key of the job that a caller's request concerns; null for a request about resources or views.
const JobKey* jobKeyOf(const CallerRequest& request)
{
    if (const auto* submit = std::get_if<SubmitRequest>(&request))
        return &submit->key;
    if (const auto* query = std::get_if<QueryRequest>(&request))
        return &query->key;
    if (const auto* cancel = std::get_if<CancelRequest>(&request))
        return &cancel->key;
    return nullptr;
}

// The part of an entry that serves the requests about a job.
PartIndex partOfJob(const JobKey& key, std::size_t partCount)
{
    return 1 + stableHash(toText(key)) % (partCount - 1);
}

// Creates a node of a directory part and settings.partCount parts of the given type, each with its own seed.
template <typename Part, typename... Ports>
std::unique_ptr<Node> makeNode(const NodeSettings& settings, std::uint64_t seed, const Ports&... ports)
{
    const std::size_t partCount = settings.partCount + 1;
    std::vector<std::unique_ptr<NodePart>> parts;
    parts.push_back(std::make_unique<DirectoryPart>(settings, partCount, seed));
    for (PartIndex index = 1; index < partCount; ++index)
        parts.push_back(std::make_unique<Part>(settings, index, partCount, seed + index, ports...));
    return std::make_unique<PartedNode>(std::move(parts));
}

} // namespace

PartIndex PartedNode::partFor(const Event& event) const
{
    if (const auto* peer = std::get_if<PeerEvent>(&event)) {
        if (!peer->message.shard.empty())
            return partOfShard(peer->message.shard, m_parts.size());
        if (const auto* status = std::get_if<JobStatus>(&peer->message.payload))
            return partOfJob(status->key, m_parts.size());
    } else if (const auto* caller = std::get_if<CallerEvent>(&event)) {
        if (const JobKey* key = jobKeyOf(caller->request))
            return partOfJob(*key, m_parts.size());
    }
    return 0;
}

std::unique_ptr<Node> makeSchedulerNode(const NodeSettings& settings, std::uint64_t seed, const Clock& clock)
{
    return makeNode<ShardPart>(settings, seed, clock);
}

std::unique_ptr<Node> makeEntryNode(const NodeSettings& settings, std::uint64_t seed)
{
    return makeNode<CallerPart>(settings, seed);
}

} // namespace mangohall
