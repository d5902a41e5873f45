// Measures the cost of the declared configuration for a node, by object, change and member.
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "configuration/configuration_func.h"
#include "configuration/configuration_view_base.h"
#include "membership/membership_func.h"
#include "node/directory_part_base.h"
#include "node/shard_part_base.h"
#include "slopes/driven_node_base.h"
#include "slopes/measure_func.h"
#include "slopes/sample_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int objectCounts[] = { 1000, 10000 };
constexpr int memberCounts[] = { 6, 60, 120 };
constexpr int shardCounts[] = { 12, 72 };
constexpr int changes = 20;
constexpr std::size_t shardParts = 8;

StoreEntry entryOf(ConfigSpec spec, Revision revision)
{
    StoreEntry entry;
    entry.key = configKey(kindOf(spec), nameOf(spec));
    entry.modRevision = revision;
    entry.value = ConfigObject { std::move(spec), revision, "change-0123456789" };
    return entry;
}

Guarantee guaranteeOf(int index, int cells)
{
    Guarantee guarantee;
    guarantee.name = GuaranteeName(absl::StrFormat("guarantee-%05d", index));
    guarantee.organisation = sampleKey(index).organisation;
    guarantee.shard = sampleShard(index % shardCounts[0]);
    guarantee.cells = cells;
    return guarantee;
}

// Returns the store entries of all organisations and shards, and of as many guarantees as it takes to get `objects`
// entries.
std::vector<StoreEntry> configEntries(int objects, const Directory& directory)
{
    std::vector<StoreEntry> entries;
    for (const auto& [name, organisation] : directory.organisations)
        entries.push_back(entryOf(organisation, 1));
    for (const ShardSpec& shard : directory.shards)
        entries.push_back(entryOf(shard, 1));
    for (int index = 0; static_cast<int>(entries.size()) < objects; ++index)
        entries.push_back(entryOf(guaranteeOf(index, 1), 1));
    return entries;
}

void measureView(std::uint64_t seed, int objects)
{
    PrefixChange snapshot;
    snapshot.isWhole = true;
    snapshot.revision = 2;
    snapshot.entries = configEntries(objects, sampleDirectory(1, shardCounts[0], sampleWorkersPerRack));
    const HeapGrowth growth;
    const Stopwatch watch;
    ConfigurationView view;
    view.apply(snapshot);
    print({ "configuration", "processorPerObjectRead", seed, objects, watch.micros() / objects, "us/object" });
    print({ "configuration", "memoryPerObject", seed, objects, growth.bytes() / objects, "B/object" });
    const HeapGrowth directoryGrowth;
    const Stopwatch fillWatch;
    Directory directory;
    view.fill(directory);
    print({ "configuration", "processorPerObjectFilled", seed, objects, fillWatch.micros() / objects, "us/object" });
    print(
        { "configuration", "directoryMemoryPerObject", seed, objects, directoryGrowth.bytes() / objects, "B/object" });
}

std::vector<StoreEntry> clusterEntries(const Directory& directory)
{
    std::vector<StoreEntry> entries;
    for (const auto& [node, member] : directory.members)
        entries.push_back({ memberKey(node), 1, member, false });
    for (const ShardName& shard : allShards(directory)) {
        const NodeName owner = preferredOwner(directory, shard);
        entries.push_back({ ownerKey(shard), 1, OwnerRecord { shard, owner, 1 }, false });
    }
    return entries;
}

std::unique_ptr<DrivenNode> makeNode(std::uint64_t seed, const Directory& directory, int objects)
{
    NodeSettings settings;
    settings.self = directory.members.at(NodeName("scheduler-000"));
    const std::size_t partCount = shardParts + 1;
    std::vector<std::unique_ptr<NodePart>> parts;
    parts.push_back(std::make_unique<DirectoryPart>(settings, partCount, seed));
    for (PartIndex index = 1; index < partCount; ++index)
        parts.push_back(std::make_unique<ShardPart>(settings, index, partCount, seed + index, sampleClock()));
    auto node = std::make_unique<DrivenNode>(std::move(parts));
    std::vector<StoreEntry> listed = clusterEntries(directory);
    for (StoreEntry& entry : configEntries(objects, directory))
        listed.push_back(std::move(entry));
    node->setListed(std::move(listed));
    return node;
}

// Measures a change of one guarantee: the cost in the directory part and then in the parts that it notifies.
void measurePublish(std::uint64_t seed, int members, int shards, int objects)
{
    const Directory directory = sampleDirectory(members, shards, sampleWorkersPerRack);
    const std::unique_ptr<DrivenNode> node = makeNode(seed, directory, objects);
    EventOutcome outcome = node->handle(0, WakeEvent());
    const NotifyEffect first = outcome.notified.back();
    for (PartIndex part = 1; part < node->partCount(); ++part)
        node->handle(part, first.event);
    const CallId call = node->watchCall(configPrefix());
    double publishMicros = 0;
    double notifiedMicros = 0;
    std::size_t reports = 0;
    for (int change = 0; change < changes; ++change) {
        StoreReply reply;
        reply.revision = 1000 + change;
        reply.entries.push_back(entryOf(guaranteeOf(0, 2 + change), reply.revision));
        const Stopwatch publishWatch;
        outcome = node->handle(0, StoreEvent { call, reply });
        publishMicros += publishWatch.micros();
        reports += outcome.sent.size();
        const Stopwatch notifiedWatch;
        for (const NotifyEffect& notify : outcome.notified)
            node->handle(notify.part, notify.event);
        notifiedMicros += notifiedWatch.micros();
    }
    const std::string suffix = absl::StrCat("With", shards, "BuildingShardsAnd", objects, "Objects");
    print({ "configuration", absl::StrCat("publish", suffix), seed, members, publishMicros / changes, "us/change" });
    print({ "configuration", absl::StrCat("partsTold", suffix), seed, members, notifiedMicros / changes, "us/change" });
    print({ "configuration", absl::StrCat("reports", suffix), seed, members, static_cast<double>(reports) / changes,
        "messages/change" });
}

} // namespace

void measureConfiguration(std::uint64_t seed)
{
    for (const int objects : objectCounts)
        measureView(seed, objects);
    for (const int members : memberCounts) {
        for (const int shards : shardCounts)
            measurePublish(seed, members, shards, objectCounts[0]);
    }
    measurePublish(seed, memberCounts[0], shardCounts[0], objectCounts[1]);
}

} // namespace mangohall
