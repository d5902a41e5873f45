#include "adapters/platform/vm_list_json_func.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

nlohmann::json toJson(const VmEntry& vm)
{
    return {
        { "worker", vm.worker.str() },
        { "address", vm.address },
        { "region", vm.region.str() },
        { "dataCentre", vm.dataCentre.str() },
        { "rack", vm.rack.str() },
        { "cpuMillis", vm.capacity.cpuMillis },
        { "memoryBytes", vm.capacity.memoryBytes },
        { "accelerators", vm.capacity.accelerators },
        { "isLeaving", vm.isLeaving },
    };
}

absl::StatusOr<VmEntry> vmFromJson(const nlohmann::json& object, absl::string_view path)
{
    VmEntry vm;
    ObjectReader reader(object, path);
    for (const absl::string_view field : { "worker", "address", "region", "dataCentre", "rack" })
        reader.require(field);
    reader.read("worker", vm.worker);
    reader.read("address", vm.address);
    reader.read("region", vm.region);
    reader.read("dataCentre", vm.dataCentre);
    reader.read("rack", vm.rack);
    reader.read("cpuMillis", vm.capacity.cpuMillis);
    reader.read("memoryBytes", vm.capacity.memoryBytes);
    reader.read("accelerators", vm.capacity.accelerators);
    reader.read("isLeaving", vm.isLeaving);
    absl::Status status = reader.finish();
    if (!status.ok() && errorKindOf(status) != ErrorKind::UnknownField)
        return status;
    return vm;
}

} // namespace

nlohmann::json vmListToJson(absl::Span<const VmEntry> vms)
{
    nlohmann::json list = nlohmann::json::array();
    for (const VmEntry& vm : vms)
        list.push_back(toJson(vm));
    return { { "vms", std::move(list) } };
}

absl::StatusOr<std::vector<VmEntry>> vmListFromJson(absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> document = parseJson(text);
    if (!document.ok())
        return document.status();
    if (!document->is_object() || !document->contains("vms") || !document->at("vms").is_array())
        return makeError(ErrorKind::InvalidValue, "vms: must be a list");
    std::vector<VmEntry> vms;
    for (const nlohmann::json& item : document->at("vms")) {
        absl::StatusOr<VmEntry> vm = vmFromJson(item, absl::StrCat("vms[", vms.size(), "]"));
        if (!vm.ok())
            return vm.status();
        vms.push_back(*std::move(vm));
    }
    return vms;
}

} // namespace mangohall
