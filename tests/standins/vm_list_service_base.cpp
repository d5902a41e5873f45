#include "standins/vm_list_service_base.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "adapters/platform/vm_list_json_func.h"
#include "core/error_func.h"
#include "standins/faulty_handler_base.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr absl::string_view listPath = "/v1/vms";
constexpr absl::string_view changePrefix = "/admin/vms/";

absl::StatusOr<VmChange> changeFromJson(absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> document = parseJson(text);
    if (!document.ok())
        return document.status();
    bool isLeaving = false;
    bool isGone = false;
    std::string address;
    ObjectReader reader(*document, "");
    reader.read("isLeaving", isLeaving);
    reader.read("isGone", isGone);
    reader.read("address", address);
    absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    VmChange change;
    if (document->contains("isLeaving"))
        change.isLeaving = isLeaving;
    if (document->contains("isGone"))
        change.isGone = isGone;
    if (document->contains("address"))
        change.address = address;
    return change;
}

} // namespace

VmListService::VmListService(const Clock& clock, const FaultSwitches& switches, absl::Span<const VmEntry> vms)
    : m_clock(clock)
    , m_switches(switches)
    , m_state(vms)
{
}

void VmListService::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    if (request.path == listPath && request.method == "GET") {
        exchange->answer(list(request));
        return;
    }
    if (!absl::StartsWith(request.path, changePrefix) || request.method != "POST") {
        exchange->answer(jsonResponse(httpNotFound, { { "error", "Not Found" } }));
        return;
    }
    const HttpResponse changed = change(request);
    if (changed.status == httpOk && m_switches.faults().dropAnswerAfterWrite)
        exchange->drop();
    else
        exchange->answer(changed);
}

HttpResponse VmListService::list(const ServedRequest& request)
{
    const DataCentreName dataCentre(request.argument("dataCentre"));
    const absl::Time at = m_clock.now() - m_switches.faults().lag;
    const absl::MutexLock lock(&m_mutex);
    return jsonResponse(httpOk, vmListToJson(m_state.list(dataCentre, at)));
}

HttpResponse VmListService::change(const ServedRequest& request)
{
    const absl::StatusOr<VmChange> change = changeFromJson(request.body);
    if (!change.ok())
        return errorResponse(httpBadRequest, change.status());
    const WorkerName worker(absl::StripPrefix(request.path, changePrefix));
    const absl::MutexLock lock(&m_mutex);
    const absl::Status status = m_state.change(worker, *change, m_clock.now());
    return status.ok() ? jsonResponse(httpOk, nlohmann::json::object()) : errorResponse(httpNotFound, status);
}

} // namespace mangohall
