#include "standins/faulty_handler_base.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;

// An exchange that is delayed, frozen or silent according to the fault switches.
class FaultyExchange : public Exchange {
public:
    FaultyExchange(
        std::shared_ptr<Exchange> inner, const FaultSwitches& switches, const std::shared_ptr<DelayQueue>& queue)
        : m_inner(std::move(inner))
        , m_switches(switches)
        , m_queue(queue)
    {
    }

    std::uint64_t connection() const override { return m_inner->connection(); }

    void answer(const HttpResponse& response) override
    {
        runDelayed([response](Exchange& inner) { inner.answer(response); });
    }

    void begin() override
    {
        runDelayed([](Exchange& inner) { inner.begin(); });
    }

    bool write(absl::string_view piece) override
    {
        runDelayed([this, text = std::string(piece)](Exchange& inner) { m_isOpen = inner.write(text); });
        return m_isOpen;
    }

    void end() override
    {
        runDelayed([](Exchange& inner) { inner.end(); });
    }

    void drop() override
    {
        runDelayed([](Exchange& inner) { inner.drop(); });
    }

private:
    using Step = std::function<void(Exchange&)>;

    void runDelayed(Step step)
    {
        if (m_switches.isSilent(connection()))
            return;
        const std::shared_ptr<DelayQueue> queue = m_queue.lock();
        if (queue == nullptr)
            return;
        queue->run(m_switches.faults().delay, [self = m_self.lock(), this, step = std::move(step)] {
            if (!m_switches.isSilent(connection()))
                step(*m_inner);
        });
    }

    friend std::shared_ptr<Exchange> makeFaultyExchange(
        std::shared_ptr<Exchange>, const FaultSwitches&, const std::shared_ptr<DelayQueue>&);

    const std::shared_ptr<Exchange> m_inner;
    const FaultSwitches& m_switches;
    // The queue owns exchanges through its actions, so an exchange must not own the queue.
    const std::weak_ptr<DelayQueue> m_queue;
    std::weak_ptr<FaultyExchange> m_self;
    std::atomic<bool> m_isOpen = true;
};

std::shared_ptr<Exchange> makeFaultyExchange(
    std::shared_ptr<Exchange> inner, const FaultSwitches& switches, const std::shared_ptr<DelayQueue>& queue)
{
    auto exchange = std::make_shared<FaultyExchange>(std::move(inner), switches, queue);
    exchange->m_self = exchange;
    return exchange;
}

} // namespace

FaultyHandler::FaultyHandler(RequestHandler& inner, FaultSwitches& switches)
    : m_inner(inner)
    , m_switches(switches)
    , m_queue(std::make_shared<DelayQueue>())
{
}

FaultyHandler::~FaultyHandler()
{
    m_queue->stop();
}

void FaultyHandler::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    m_newestConnection = std::max(m_newestConnection, exchange->connection());
    if (request.path == "/admin/faults" && request.method == "POST") {
        setFaults(request, *exchange);
        return;
    }
    if (absl::StartsWith(request.path, "/admin/")) {
        m_inner.handle(request, std::move(exchange));
        return;
    }
    if (m_switches.isSilent(exchange->connection()))
        return;
    if (m_switches.faults().refuse) {
        exchange->drop();
        return;
    }
    const std::shared_ptr<Exchange> faulty = makeFaultyExchange(std::move(exchange), m_switches, m_queue);
    if (!m_switches.faults().freeze) {
        m_inner.handle(request, faulty);
        return;
    }
    m_queue->run(absl::ZeroDuration(), [this, request, faulty] { m_inner.handle(request, faulty); });
}

void FaultyHandler::setFaults(const ServedRequest& request, Exchange& exchange)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(request.body);
    const absl::Status status = fields.ok() ? m_switches.set(*fields, m_newestConnection) : fields.status();
    if (!status.ok()) {
        exchange.answer(errorResponse(httpBadRequest, status));
        return;
    }
    m_queue->setFrozen(m_switches.faults().freeze);
    m_queue->limitDelay(m_switches.faults().delay);
    exchange.answer(jsonResponse(httpOk, nlohmann::json::object()));
}

HttpResponse jsonResponse(int status, const nlohmann::json& body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = body.dump();
    return response;
}

HttpResponse errorResponse(int httpStatus, const absl::Status& status)
{
    return jsonResponse(httpStatus, { { "error", std::string(status.message()) } });
}

} // namespace mangohall
