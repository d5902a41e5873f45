#include "standins/worker/worker_service_base.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/types/optional.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/platform_worker/worker_json_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;

absl::StatusOr<WorkerCall> readCall(absl::string_view body)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(body);
    if (!fields.ok())
        return fields.status();
    return workerCallFromJson(*fields);
}

// Stores the answer to a request that the service makes to its own fault handler.
class InnerExchange : public Exchange {
public:
    explicit InnerExchange(std::uint64_t connection)
        : m_connection(connection)
    {
    }

    std::uint64_t connection() const override { return m_connection; }
    void answer(const HttpResponse& response) override { m_response = response; }
    void begin() override { }
    bool write(absl::string_view /*piece*/) override { return false; }
    void end() override { }
    void drop() override { }

    const HttpResponse& response() const { return m_response; }

private:
    const std::uint64_t m_connection;
    HttpResponse m_response;
};

// Removes a switch from the fields and returns its value, empty if it is absent.
absl::StatusOr<absl::optional<bool>> extractSwitch(nlohmann::json& fields, const std::string& name)
{
    const auto field = fields.find(name);
    if (field == fields.end())
        return absl::optional<bool>();
    if (!field->is_boolean())
        return makeError(ErrorKind::InvalidValue, absl::StrCat(name, ": must be true or false"));
    const bool value = field->get<bool>();
    fields.erase(field);
    return absl::optional<bool>(value);
}

} // namespace

WorkerService::WorkerService(
    const WorkerName& worker, absl::string_view incarnationPrefix, const Clock& clock, const WorkerTiming& timing)
    : m_state(worker, incarnationPrefix, clock, timing)
{
}

WorkerService::~WorkerService() = default;

void WorkerService::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    if (request.path != "/v1/calls" || request.method != "POST") {
        exchange->answer(jsonResponse(httpNotFound, { { "error", "only POST /v1/calls is served" } }));
        return;
    }
    const absl::StatusOr<WorkerCall> call = readCall(request.body);
    if (!call.ok()) {
        exchange->answer(errorResponse(httpBadRequest, call.status()));
        return;
    }
    const WorkerReport report = m_state.handle(*call);
    if (m_switches.faults().dropAnswerAfterWrite)
        exchange->drop();
    else
        exchange->answer(jsonResponse(httpOk, toJson(report)));
}

void WorkerService::handleWithFaults(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    if (m_faultyHandler == nullptr)
        handle(request, std::move(exchange));
    else
        m_faultyHandler->handle(request, std::move(exchange));
}

absl::Status WorkerService::setFaults(const nlohmann::json& fields, std::uint64_t newestConnection)
{
    if (!fields.is_object())
        return makeError(ErrorKind::InvalidValue, "the faults must be an object");
    nlohmann::json common = fields;
    const absl::StatusOr<absl::optional<bool>> failsEveryTask = extractSwitch(common, "failEveryTask");
    if (!failsEveryTask.ok())
        return failsEveryTask.status();
    const absl::StatusOr<absl::optional<bool>> shouldRestart = extractSwitch(common, "restart");
    if (!shouldRestart.ok())
        return shouldRestart.status();
    absl::Status status = setCommonFaults(common, newestConnection);
    if (!status.ok())
        return status;
    if (failsEveryTask->has_value())
        m_state.setFailsEveryTask(**failsEveryTask);
    if (shouldRestart->value_or(false))
        m_state.restart();
    return absl::OkStatus();
}

absl::Status WorkerService::setCommonFaults(const nlohmann::json& fields, std::uint64_t newestConnection)
{
    if (fields.empty())
        return absl::OkStatus();
    if (m_faultyHandler == nullptr)
        m_faultyHandler = std::make_unique<FaultyHandler>(*this, m_switches);
    ServedRequest request;
    request.method = "POST";
    request.path = "/admin/faults";
    request.body = fields.dump();
    const auto exchange = std::make_shared<InnerExchange>(newestConnection);
    m_faultyHandler->handle(request, exchange);
    if (exchange->response().status != httpOk)
        return makeError(ErrorKind::InvalidValue, exchange->response().body);
    return absl::OkStatus();
}

} // namespace mangohall
