#include "placement/guarantee_planner_func.h"

#include <algorithm>
#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "placement/cell_packing_func.h"

namespace mangohall {
namespace {

absl::string_view adjacencyText(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::SameWorker:
        return "on one worker";
    case Adjacency::SameRack:
        return "in one rack";
    case Adjacency::SameDataCentre:
        return "in one data centre";
    case Adjacency::Anywhere:
        break;
    }
    return "anywhere in the shard";
}

absl::Status doesNotPack(const CellShape& cell, const ShardName& shard)
{
    return makeError(ErrorKind::GuaranteeDoesNotPack,
        absl::StrCat("guarantee ", cell.guarantee.text(), ": a cell of ", cell.accelerators, " accelerators ",
            adjacencyText(cell.adjacency), " does not fit in shard ", shard.text()));
}

absl::Status notDeclared(const GuaranteeName& guarantee, const ShardName& shard)
{
    return makeError(ErrorKind::GuaranteeDoesNotPack,
        absl::StrCat("guarantee ", guarantee.text(), ": shard ", shard.text(), " is not declared"));
}

const ShardSpec* findShard(absl::Span<const ShardSpec> shards, const ShardName& name)
{
    const auto shard
        = std::find_if(shards.begin(), shards.end(), [&](const ShardSpec& spec) { return spec.name == name; });
    return shard == shards.end() ? nullptr : &*shard;
}

std::vector<BindableWorker> emptyWorkers(const ShardSpec& shard)
{
    std::vector<BindableWorker> workers;
    for (const RackName& rack : shard.racks) {
        for (int index = 0; index < shard.workersPerRack; ++index) {
            const WorkerName name(absl::StrCat(rack.text(), "/", index));
            workers.push_back({ name, rack, shard.acceleratorsPerWorker, shard.acceleratorsPerWorker, 0 });
        }
    }
    return workers;
}

void subtractPieces(std::vector<BindableWorker>& workers, absl::Span<const CellPiece> pieces)
{
    for (const CellPiece& piece : pieces) {
        const auto worker = std::find_if(
            workers.begin(), workers.end(), [&](const BindableWorker& other) { return other.worker == piece.worker; });
        worker->accelerators -= piece.accelerators;
    }
}

absl::Status testShard(const ShardSpec& shard, std::vector<CellShape> cells)
{
    std::stable_sort(cells.begin(), cells.end(), isBoundBefore);
    std::vector<BindableWorker> workers = emptyWorkers(shard);
    for (const CellShape& cell : cells) {
        const absl::optional<std::vector<CellPiece>> place = findCellPlace(cell, workers);
        if (!place.has_value())
            return doesNotPack(cell, shard.name);
        subtractPieces(workers, *place);
    }
    return absl::OkStatus();
}

} // namespace

absl::Status testGuaranteesPack(absl::Span<const ShardSpec> shards, absl::Span<const Guarantee> guarantees)
{
    std::map<ShardName, std::vector<CellShape>> cellsByShard;
    for (const Guarantee& guarantee : guarantees) {
        const std::vector<CellShape> cells = cellsOf(guarantee);
        if (cells.empty())
            continue;
        std::vector<CellShape>& all = cellsByShard[guarantee.shard];
        all.insert(all.end(), cells.begin(), cells.end());
    }
    for (const auto& [name, cells] : cellsByShard) {
        const ShardSpec* shard = findShard(shards, name);
        if (shard == nullptr)
            return notDeclared(cells.front().guarantee, name);
        absl::Status status = testShard(*shard, cells);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace mangohall
