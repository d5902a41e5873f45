#include "standins/building_json_func.h"

#include <functional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

using Json = nlohmann::json;

constexpr Resources defaultWorkerCapacity = { 128'000, 256'000'000'000, 8 };
constexpr int maxPort = 65535;

// Reads one item of a list. `path` names the item in errors.
using ReadItem = std::function<absl::Status(const Json& item, const std::string& path)>;

absl::Status readList(ObjectReader& reader, absl::string_view field, const ReadItem& readItem)
{
    const Json* list = reader.find(field);
    if (!reader.status().ok())
        return reader.status();
    if (list == nullptr || !list->is_array())
        return makeError(ErrorKind::InvalidValue, absl::StrCat(reader.pathOf(field), ": must be a list"));
    std::size_t index = 0;
    for (const Json& item : *list) {
        absl::Status status = readItem(item, absl::StrCat(reader.pathOf(field), "[", index++, "]"));
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

void readCapacity(ObjectReader& reader, Resources& capacity)
{
    reader.read("cpuMillis", capacity.cpuMillis);
    reader.read("memoryBytes", capacity.memoryBytes);
    reader.read("accelerators", capacity.accelerators);
}

absl::Status readWorker(const Json& item, const std::string& path, VmEntry vm, std::vector<VmEntry>& vms)
{
    vm.capacity = defaultWorkerCapacity;
    ObjectReader reader(item, path);
    reader.require("name");
    reader.require("address");
    reader.read("name", vm.worker);
    reader.read("address", vm.address);
    readCapacity(reader, vm.capacity);
    absl::Status status = reader.finish();
    if (status.ok())
        vms.push_back(std::move(vm));
    return status;
}

// Reads the name of a region, data centre or rack and the list of its parts.
template <typename Tag>
absl::Status readPlace(
    const Json& item, const std::string& path, Name<Tag>& name, absl::string_view listField, const ReadItem& readItem)
{
    ObjectReader reader(item, path);
    reader.require("name");
    reader.read("name", name);
    absl::Status status = readList(reader, listField, readItem);
    return status.ok() ? reader.finish() : status;
}

absl::Status readRegions(ObjectReader& reader, std::vector<VmEntry>& vms)
{
    VmEntry place;
    const ReadItem readOneWorker
        = [&](const Json& item, const std::string& path) { return readWorker(item, path, place, vms); };
    const ReadItem readRack = [&](const Json& item, const std::string& path) {
        return readPlace(item, path, place.rack, "workers", readOneWorker);
    };
    const ReadItem readDataCentre = [&](const Json& item, const std::string& path) {
        return readPlace(item, path, place.dataCentre, "racks", readRack);
    };
    return readList(reader, "regions", [&](const Json& item, const std::string& path) {
        return readPlace(item, path, place.region, "dataCentres", readDataCentre);
    });
}

// The parameters of generated workers.
struct Generator {
    std::string ip = "127.0.0.1";
    std::int32_t firstPort = 0;
    std::int32_t portStep = 1;
    std::int32_t workersPerRack = 8;
    Resources capacity = defaultWorkerCapacity;
    // Number of workers generated so far, which determines the next port.
    std::int32_t generatedCount = 0;
};

VmEntry makeWorker(Generator& generator, const VmEntry& place, std::int32_t index)
{
    VmEntry vm = place;
    const std::int32_t port = generator.firstPort + generator.generatedCount++ * generator.portStep;
    vm.worker = WorkerName(absl::StrFormat("%s-w%04d", place.dataCentre.str(), index));
    vm.rack = RackName(absl::StrFormat("%s-r%03d", place.dataCentre.str(), index / generator.workersPerRack));
    vm.address = absl::StrCat(generator.ip, ":", port);
    vm.capacity = generator.capacity;
    return vm;
}

absl::Status generateDataCentre(
    const Json& item, const std::string& path, Generator& generator, std::vector<VmEntry>& vms)
{
    VmEntry place;
    std::int32_t workers = 0;
    ObjectReader reader(item, path);
    for (const absl::string_view field : { "region", "name", "workers" })
        reader.require(field);
    reader.read("region", place.region);
    reader.read("name", place.dataCentre);
    reader.read("workers", workers);
    absl::Status status = reader.finish();
    for (std::int32_t index = 0; status.ok() && index < workers; ++index)
        vms.push_back(makeWorker(generator, place, index));
    return status;
}

absl::Status generate(const Json& object, std::vector<VmEntry>& vms)
{
    Generator generator;
    ObjectReader reader(object, "generate");
    reader.require("firstPort");
    reader.read("ip", generator.ip);
    reader.read("firstPort", generator.firstPort);
    reader.read("portStep", generator.portStep);
    reader.read("workersPerRack", generator.workersPerRack);
    readCapacity(reader, generator.capacity);
    if (generator.workersPerRack < 1)
        return makeError(ErrorKind::InvalidValue, "generate.workersPerRack: must be at least 1");
    absl::Status status = readList(reader, "dataCentres",
        [&](const Json& item, const std::string& path) { return generateDataCentre(item, path, generator, vms); });
    if (!status.ok())
        return status;
    const std::int64_t lastPort
        = generator.firstPort + std::int64_t { generator.generatedCount } * generator.portStep - generator.portStep;
    if (generator.firstPort < 1 || lastPort > maxPort)
        return makeError(ErrorKind::InvalidValue, absl::StrCat("generate.firstPort: ports must be 1 to ", maxPort));
    return reader.finish();
}

absl::Status checkNames(const std::vector<VmEntry>& vms)
{
    std::set<WorkerName> seen;
    for (const VmEntry& vm : vms) {
        if (!seen.insert(vm.worker).second)
            return makeError(ErrorKind::InvalidValue, absl::StrCat("worker ", vm.worker.text(), ": stands twice"));
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::vector<VmEntry>> buildingFromJson(absl::string_view text)
{
    const absl::StatusOr<Json> document = parseJson(text);
    if (!document.ok())
        return document.status();
    std::vector<VmEntry> vms;
    ObjectReader reader(*document, "");
    const Json* generated = reader.find("generate");
    absl::Status status = generated != nullptr ? generate(*generated, vms) : readRegions(reader, vms);
    if (status.ok())
        status = reader.finish();
    if (status.ok())
        status = checkNames(vms);
    if (!status.ok())
        return status;
    return vms;
}

} // namespace mangohall
