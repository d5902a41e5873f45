#include "standins/worker/worker_building_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/platform_worker/task_json_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr absl::string_view workerPrefix = "/w/";
constexpr absl::string_view adminPrefix = "/admin/";

// The parts of a path to a worker: "/w/NAME/REST" has the worker NAME and the rest "/REST".
struct WorkerPath {
    absl::string_view worker;
    absl::string_view rest;
};

WorkerPath splitPath(absl::string_view path)
{
    const absl::string_view inner = path.substr(workerPrefix.size());
    const std::size_t slash = inner.find('/');
    if (slash == absl::string_view::npos)
        return { inner, "/" };
    return { inner.substr(0, slash), inner.substr(slash) };
}

nlohmann::json toJson(const WorkerName& worker, const TaskExecution& execution)
{
    return {
        { "worker", worker.str() },
        { "incarnation", execution.incarnation },
        { "task", toJson(execution.task) },
        { "startedAtMicros", absl::ToUnixMicros(execution.startedAt) },
    };
}

HttpResponse notFound(absl::string_view what)
{
    return errorResponse(httpNotFound, makeError(ErrorKind::NotFound, what));
}

} // namespace

WorkerBuilding::WorkerBuilding(absl::Span<const WorkerName> workers, absl::string_view incarnationPrefix,
    const Clock& clock, const WorkerTiming& timing)
{
    for (const WorkerName& worker : workers) {
        const std::string prefix = absl::StrCat(worker.text(), "-", incarnationPrefix);
        m_services.emplace(worker.str(), std::make_unique<WorkerService>(worker, prefix, clock, timing));
    }
}

WorkerBuilding::~WorkerBuilding() = default;

void WorkerBuilding::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    m_newestConnection = std::max(m_newestConnection, exchange->connection());
    if (absl::StartsWith(request.path, adminPrefix))
        exchange->answer(administer(request));
    else
        callWorker(request, exchange);
}

void WorkerBuilding::callWorker(const ServedRequest& request, const std::shared_ptr<Exchange>& exchange)
{
    if (!absl::StartsWith(request.path, workerPrefix)) {
        if (m_services.size() == 1)
            m_services.begin()->second->handleWithFaults(request, exchange);
        else
            exchange->answer(notFound("the path must begin with /w/NAME"));
        return;
    }
    const WorkerPath path = splitPath(request.path);
    const auto service = m_services.find(path.worker);
    if (service == m_services.end()) {
        exchange->answer(notFound(absl::StrCat("there is no worker ", path.worker)));
        return;
    }
    ServedRequest inner = request;
    inner.path = std::string(path.rest);
    service->second->handleWithFaults(inner, exchange);
}

HttpResponse WorkerBuilding::administer(const ServedRequest& request)
{
    if (request.path == "/admin/faults" && request.method == "POST")
        return setFaults(request);
    if (request.path == "/admin/executions" && request.method == "GET")
        return listExecutions(request);
    if (request.path == "/admin/workers" && request.method == "GET")
        return listWorkers();
    return notFound(absl::StrCat(request.method, " ", request.path, " is not served"));
}

HttpResponse WorkerBuilding::setFaults(const ServedRequest& request)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(request.body);
    if (!fields.ok())
        return errorResponse(httpBadRequest, fields.status());
    const std::vector<WorkerService*> services = servicesFor(request);
    if (services.empty())
        return notFound("there is no such worker");
    for (WorkerService* const service : services) {
        const absl::Status status = service->setFaults(*fields, m_newestConnection);
        if (!status.ok())
            return errorResponse(httpBadRequest, status);
    }
    return jsonResponse(httpOk, nlohmann::json::object());
}

HttpResponse WorkerBuilding::listExecutions(const ServedRequest& request)
{
    nlohmann::json list = nlohmann::json::array();
    for (const WorkerService* const service : servicesFor(request)) {
        for (const TaskExecution& execution : service->state().executions())
            list.push_back(toJson(service->state().worker(), execution));
    }
    return jsonResponse(httpOk, { { "executions", std::move(list) } });
}

HttpResponse WorkerBuilding::listWorkers() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, service] : m_services)
        list.push_back({ { "worker", name }, { "incarnation", service->state().incarnation() } });
    return jsonResponse(httpOk, { { "workers", std::move(list) } });
}

std::vector<WorkerService*> WorkerBuilding::servicesFor(const ServedRequest& request)
{
    const absl::string_view wanted = request.argument("worker");
    std::vector<WorkerService*> services;
    for (const auto& [name, service] : m_services) {
        if (wanted.empty() || wanted == name)
            services.push_back(service.get());
    }
    return services;
}

std::vector<WorkerName> numberedWorkers(absl::string_view baseName, int count)
{
    std::vector<WorkerName> workers;
    workers.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        workers.emplace_back(absl::StrCat(baseName, "-", number));
    return workers;
}

absl::StatusOr<std::vector<WorkerName>> workersInVmList(absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(text);
    if (!fields.ok())
        return fields.status();
    if (!fields->is_object() || !fields->contains("vms") || !fields->at("vms").is_array())
        return makeError(ErrorKind::InvalidValue, "vms: must be a list");
    std::vector<WorkerName> workers;
    for (const nlohmann::json& vm : fields->at("vms")) {
        if (!vm.is_object() || !vm.contains("worker") || !vm.at("worker").is_string())
            return makeError(ErrorKind::InvalidValue, "vms: each must name its worker");
        workers.emplace_back(vm.at("worker").get<std::string>());
    }
    return workers;
}

} // namespace mangohall
