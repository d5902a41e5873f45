// Measures the decision rate of one scheduler by the number of its parts, driven by real threads, and the cost of an
// event by the number of members and shards.
#include <thread>

#include "absl/strings/str_cat.h"
#include "membership/membership_func.h"
#include "node/directory_part_base.h"
#include "node/shard_part_base.h"
#include "slopes/driven_node_base.h"
#include "slopes/measure_func.h"
#include "slopes/sample_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int partCounts[] = { 1, 4, 16, 64 };
constexpr int memberCounts[] = { 6, 60, 120 };
constexpr int threads = 8;
constexpr int jobs = 6400;
constexpr int summaryEvents = 200;

std::unique_ptr<DrivenNode> makeScheduler(std::uint64_t seed, std::size_t shardParts, const Directory& directory)
{
    NodeSettings settings;
    settings.self = directory.members.at(NodeName("scheduler-000"));
    std::vector<std::unique_ptr<NodePart>> parts;
    const std::size_t partCount = shardParts + 1;
    parts.push_back(std::make_unique<DirectoryPart>(settings, partCount, seed));
    for (PartIndex index = 1; index < partCount; ++index)
        parts.push_back(std::make_unique<ShardPart>(settings, index, partCount, seed + index, sampleClock()));
    auto node = std::make_unique<DrivenNode>(std::move(parts));
    const auto snapshot = std::make_shared<const Directory>(directory);
    for (PartIndex index = 1; index < partCount; ++index)
        node->handle(index, DirectoryEvent { snapshot });
    return node;
}

// Submits and cancels every job whose ledger shard is assigned to the thread. Returns the number of events handled.
std::int64_t runThread(DrivenNode& node, int thread)
{
    std::int64_t handled = 0;
    for (int index = 0; index < jobs; ++index) {
        const JobKey key = sampleKey(index);
        const ShardName home = homeShardOf(key);
        const int assignedThread = static_cast<int>(home.text().back()) % threads;
        if (assignedThread != thread)
            continue;
        const PartIndex part = partOfShard(home, node.partCount());
        const NodeName entry("entry-000");
        handled += node.handle(part, PeerEvent { { entry, home, SubmitJob { key, "a", sampleSpec(1) } } }).handled;
        handled += node.handle(part, PeerEvent { { entry, home, CancelJob { key, "b" } } }).handled;
    }
    return handled;
}

double decisionsPerSecond(std::uint64_t seed, int shardParts)
{
    const std::unique_ptr<DrivenNode> node
        = makeScheduler(seed, static_cast<std::size_t>(shardParts), sampleDirectory(1, 1, sampleWorkersPerRack));
    std::vector<std::int64_t> handled(threads, 0);
    std::vector<std::thread> running;
    running.reserve(threads);
    const double start = wallSeconds();
    for (int thread = 0; thread < threads; ++thread)
        running.emplace_back([&node, &handled, thread] { handled[thread] = runThread(*node, thread); });
    for (std::thread& thread : running)
        thread.join();
    const double seconds = wallSeconds() - start;
    std::int64_t total = 0;
    for (const std::int64_t count : handled)
        total += count;
    return static_cast<double>(total) / seconds;
}

// Measures what a part spends on each event to check which shards it has to claim, while every shard is owned by its
// preferred owner.
void measureOwnershipCheck(std::uint64_t seed, int members, int shards)
{
    constexpr std::size_t partCount = 9;
    Directory directory = sampleDirectory(members, shards, sampleWorkersPerRack);
    for (const ShardName& shard : allShards(directory))
        directory.owners[shard] = { OwnerRecord { shard, preferredOwner(directory, shard), 1 }, 1 };
    const std::unique_ptr<DrivenNode> node = makeScheduler(seed, partCount - 1, directory);
    const CapacitySummary summary { sampleShard(0), 1, 1, 1, 0 };
    const Stopwatch watch;
    for (int index = 0; index < summaryEvents; ++index)
        node->handle(1 + index % (partCount - 1), PeerEvent { { NodeName("peer"), ShardName(), summary } });
    print({ "parts", absl::StrCat("processorPerEventWith", shards, "BuildingShards"), seed, members,
        watch.micros() / summaryEvents, "us/event" });
}

} // namespace

void measureParts(std::uint64_t seed)
{
    double singlePartRate = 0;
    for (const int parts : partCounts) {
        const double rate = decisionsPerSecond(seed, parts);
        if (parts == 1)
            singlePartRate = rate;
        print({ "parts", "decisionsPerSecond", seed, parts, rate, "decisions/s" });
        print({ "parts", "ratioToOnePart", seed, parts, rate / singlePartRate, "ratio" });
    }
    for (const int members : memberCounts) {
        for (const int shards : { 12, 72 })
            measureOwnershipCheck(seed, members, shards);
    }
}

} // namespace mangohall
