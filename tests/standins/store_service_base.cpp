#include "standins/store_service_base.h"

#include <algorithm>
#include <utility>

#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "standins/faulty_handler_base.h"

namespace mangohall {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration progressPeriod = absl::Seconds(10);
constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr absl::string_view watchPath = "/v3/watch";

Json streamMessage(Json result)
{
    return { { "result", std::move(result) } };
}

std::string lineOf(const Json& message)
{
    return message.dump() + "\n";
}

} // namespace

StoreService::StoreService(const Clock& clock, const FaultSwitches& switches, std::size_t historyLimit)
    : m_clock(clock)
    , m_switches(switches)
    , m_state(historyLimit)
    , m_nextProgress(clock.now() + progressPeriod)
    , m_timerThread([this] { runTimer(); })
{
}

StoreService::~StoreService()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
        m_scheduleChanged.SignalAll();
    }
    m_timerThread.join();
}

absl::Span<const StoreService::Route> StoreService::routes()
{
    static constexpr Route table[] = {
        { "/v3/kv/range", &StoreService::readRange, false },
        { "/v3/kv/txn", &StoreService::commit, true },
        { "/v3/lease/grant", &StoreService::grantLease, true },
        { "/v3/lease/keepalive", &StoreService::keepLeaseAlive, true },
        { "/v3/lease/revoke", &StoreService::revokeLease, true },
        { "/admin/compact", &StoreService::compact, false },
        { "/admin/stats", &StoreService::stats, false },
    };
    return table;
}

void StoreService::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    const absl::StatusOr<Json> body = request.body.empty() ? Json::object() : parseJson(request.body);
    if (!body.ok()) {
        exchange->answer(storeErrorResponse(body.status()));
        return;
    }
    if (request.path == watchPath) {
        openWatch(*body, std::move(exchange));
        return;
    }
    for (const Route& route : routes()) {
        if (route.path == request.path) {
            serve(route, *body, *exchange);
            return;
        }
    }
    exchange->answer(jsonResponse(httpNotFound, { { "error", "Not Found" } }));
}

void StoreService::serve(const Route& route, const Json& body, Exchange& exchange)
{
    const absl::MutexLock lock(&m_mutex);
    const Revision before = m_state.revision();
    const absl::StatusOr<Json> answer = (this->*route.operation)(body);
    // As in the real store, watches may receive a change before the client that made it receives its answer.
    if (m_state.revision() != before)
        sendChangesToWatches();
    if (!answer.ok())
        exchange.answer(storeErrorResponse(answer.status()));
    else if (route.isWrite && m_switches.faults().dropAnswerAfterWrite)
        exchange.drop();
    else
        exchange.answer(jsonResponse(httpOk, *answer));
}

absl::StatusOr<Json> StoreService::readRange(const Json& body)
{
    ++m_counts.reads;
    const absl::StatusOr<KeyRange> range = keyRangeFromJson(body);
    if (!range.ok())
        return range.status();
    return rangeToJson(m_state.range(*range), m_state.revision());
}

absl::StatusOr<Json> StoreService::commit(const Json& body)
{
    ++m_counts.writes;
    const absl::StatusOr<StoreTransaction> transaction = transactionFromJson(body);
    if (!transaction.ok())
        return transaction.status();
    const absl::StatusOr<bool> isSucceeded = m_state.commit(*transaction);
    if (!isSucceeded.ok())
        return isSucceeded.status();
    const std::vector<StoredKey> present = m_state.range({ transaction->key, "" });
    return transactionToJson(*isSucceeded, *transaction, present, m_state.revision());
}

absl::StatusOr<Json> StoreService::grantLease(const Json& body)
{
    ++m_counts.writes;
    const std::int64_t seconds = int64FromJson(body, "TTL");
    if (seconds <= 0)
        return makeError(ErrorKind::InvalidValue, "TTL must be positive");
    const StoredLease lease = m_state.grantLease(absl::Seconds(seconds), m_clock.now());
    m_scheduleChanged.SignalAll();
    return leaseToJson(lease, m_state.revision());
}

absl::StatusOr<Json> StoreService::keepLeaseAlive(const Json& body)
{
    ++m_counts.writes;
    const std::int64_t id = int64FromJson(body, "ID");
    const absl::StatusOr<StoredLease> lease = m_state.keepLeaseAlive(id, m_clock.now());
    StoredLease expired;
    expired.id = id;
    return streamMessage(leaseToJson(lease.ok() ? *lease : expired, m_state.revision()));
}

absl::StatusOr<Json> StoreService::revokeLease(const Json& body)
{
    ++m_counts.writes;
    const absl::Status status = m_state.revokeLease(int64FromJson(body, "ID"));
    if (!status.ok())
        return status;
    return Json { { "header", headerToJson(m_state.revision()) } };
}

absl::StatusOr<Json> StoreService::compact(const Json& body)
{
    m_state.compact(int64FromJson(body, "revision"));
    return Json::object();
}

absl::StatusOr<Json> StoreService::stats(const Json& /*body*/)
{
    return Json {
        { "reads", m_counts.reads },
        { "writes", m_counts.writes },
        { "watches", m_counts.watches },
        { "revision", m_state.revision() },
    };
}

void StoreService::openWatch(const Json& body, std::shared_ptr<Exchange> exchange)
{
    const absl::StatusOr<WatchCreation> creation = watchCreationFromJson(body);
    if (!creation.ok()) {
        exchange->answer(storeErrorResponse(creation.status()));
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    ++m_counts.watches;
    Watch watch;
    watch.range = creation->range;
    watch.nextRevision = creation->startRevision != 0 ? creation->startRevision : m_state.revision() + 1;
    watch.exchange = std::move(exchange);
    watch.exchange->begin();
    watch.exchange->write(
        lineOf(streamMessage({ { "header", headerToJson(m_state.revision()) }, { "created", true } })));
    if (sendChanges(watch))
        m_watches.push_back(std::move(watch));
    m_scheduleChanged.SignalAll();
}

void StoreService::sendChangesToWatches()
{
    const auto isOver = [this](Watch& watch) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !sendChanges(watch); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isOver), m_watches.end());
}

bool StoreService::sendChanges(Watch& watch)
{
    const absl::StatusOr<std::vector<StoredChange>> changes = m_state.changesFrom(watch.nextRevision, watch.range);
    if (!changes.ok()) {
        const std::string compactRevision = std::to_string(m_state.compactRevision());
        watch.exchange->write(lineOf(streamMessage({ { "header", headerToJson(m_state.revision()) },
            { "canceled", true }, { "compact_revision", compactRevision } })));
        watch.exchange->end();
        return false;
    }
    watch.nextRevision = std::max(watch.nextRevision, m_state.revision() + 1);
    if (changes->empty())
        return true;
    return watch.exchange->write(lineOf(changesToJson(*changes, m_state.revision())));
}

void StoreService::sendProgress()
{
    const std::string progress = lineOf(streamMessage({ { "header", headerToJson(m_state.revision()) } }));
    const auto isOver = [&progress](const Watch& watch) { return !watch.exchange->write(progress); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isOver), m_watches.end());
    m_nextProgress = m_clock.now() + progressPeriod;
}

absl::Time StoreService::nextWake() const
{
    return m_watches.empty() ? m_state.nextExpiry() : std::min(m_state.nextExpiry(), m_nextProgress);
}

void StoreService::runTimer()
{
    const absl::MutexLock lock(&m_mutex);
    while (!m_isStopping) {
        if (m_state.expireLeases(m_clock.now()))
            sendChangesToWatches();
        if (!m_watches.empty() && m_nextProgress <= m_clock.now())
            sendProgress();
        m_scheduleChanged.WaitWithDeadline(&m_mutex, nextWake());
    }
}

} // namespace mangohall
