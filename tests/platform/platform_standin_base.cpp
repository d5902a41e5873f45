#include "platform/platform_standin_base.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "platform/standin_json_func.h"

namespace mangohall::platform {

namespace {

constexpr absl::string_view loopback = "127.0.0.1";
// The longest time for which the timeline is not advanced.
constexpr absl::Duration maxTimelineWait = absl::Milliseconds(50);
constexpr absl::Duration storeRequestTimeout = absl::Seconds(60);

batch::Manifest makeManifest()
{
    batch::Manifest manifest;
    manifest.version = 1;
    batch::QueueSpec urgent;
    urgent.name = batch::QueueName("urgent");
    urgent.host = "desk.example";
    urgent.pathPrefix = "/urgent/";
    urgent.service = ServiceName("desk");
    urgent.terms = { 0, 2, 1.5, absl::Milliseconds(400) };
    batch::QueueSpec batch = urgent;
    batch.name = batch::QueueName("batch");
    batch.pathPrefix = "/batch/";
    batch.terms = { 2, 3, 3, absl::Seconds(3) };
    manifest.queues = { urgent, batch };
    manifest.organisations = { { OrganisationName("large"), { "key-large" }, 16 } };
    return manifest;
}

HttpResponse malformedResponse(const absl::Status& status)
{
    HttpResponse response;
    response.status = 400;
    response.body = std::string(status.message());
    return response;
}

} // namespace

PlatformStandin::PlatformStandin()
    : m_startedAt(absl::Now())
    , m_timelineStart(m_timeline.now())
    , m_random(1)
    , m_store(m_timeline, m_random)
    , m_workers(m_timeline, m_random, m_store)
    , m_storeServer(*this)
{
}

PlatformStandin::~PlatformStandin()
{
    stop();
}

absl::Status PlatformStandin::start(std::uint16_t storePort, int workers)
{
    if (absl::Status status = m_storeServer.start(loopback, storePort); !status.ok())
        return status;
    for (int worker = 0; worker < workers; ++worker) {
        const std::string rack = absl::StrCat("rack-", worker * 2 / workers);
        if (absl::Status status = addWorker(absl::StrCat("worker-", worker), rack); !status.ok())
            return status;
    }
    absl::MutexLock lock(&m_mutex);
    m_store.put({ batch::Collection::Manifest, "" }, makeManifest());
    m_timelineThread = std::thread([this] { runTimeline(); });
    return absl::OkStatus();
}

absl::Status PlatformStandin::addWorker(const std::string& name, const std::string& rack)
{
    m_workerServers.push_back(std::make_unique<WorkerServer>(*this, name));
    HttpServer& server = m_workerServers.back()->server();
    if (absl::Status status = server.start(loopback, 0); !status.ok())
        return status;
    absl::MutexLock lock(&m_mutex);
    m_workers.add(name, rack, { 128000, std::int64_t { 1 } << 38, 8 }, absl::StrCat(loopback, ":", server.port()));
    m_changed.Signal();
    return absl::OkStatus();
}

void PlatformStandin::drainWorker(const std::string& name, absl::Duration after)
{
    absl::MutexLock lock(&m_mutex);
    m_workers.drain(name, after);
    m_changed.Signal();
}

void PlatformStandin::putEntryBytes(const std::string& name, const std::string& bytes)
{
    absl::MutexLock lock(&m_mutex);
    const batch::RecordKey key { batch::Collection::Workers, name };
    if (const batch::Record* found = m_store.find(key))
        m_replacedEntries.emplace(name, found->value);
    m_store.put(key, batch::UnreadableRecord { bytes });
    m_changed.Signal();
}

void PlatformStandin::restoreEntry(const std::string& name)
{
    absl::MutexLock lock(&m_mutex);
    m_store.put({ batch::Collection::Workers, name }, m_replacedEntries.at(name));
    m_changed.Signal();
}

void PlatformStandin::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
        m_changed.Signal();
    }
    if (m_timelineThread.joinable())
        m_timelineThread.join();
    m_storeServer.stop();
    for (const std::unique_ptr<WorkerServer>& workerServer : m_workerServers)
        workerServer->server().stop();
}

void PlatformStandin::advanceTimeline()
{
    m_timeline.runUntil(m_timelineStart + (absl::Now() - m_startedAt));
}

void PlatformStandin::runTimeline()
{
    absl::MutexLock lock(&m_mutex);
    while (!m_isStopping) {
        advanceTimeline();
        m_changed.WaitWithTimeout(&m_mutex, std::min(maxTimelineWait, m_timeline.nextDue() - m_timeline.now()));
    }
}

void PlatformStandin::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    const absl::StatusOr<batch::StoreRequest> decoded = storeRequestOf(request);
    if (!decoded.ok()) {
        exchange->answer(malformedResponse(decoded.status()));
        return;
    }
    const bool isPage = std::holds_alternative<batch::ReadCollection>(*decoded);
    const std::string after(request.argument("after"));
    absl::MutexLock lock(&m_mutex);
    advanceTimeline();
    m_store.request(
        "", *decoded, storeRequestTimeout, [decoded, exchange, isPage, after](const batch::StoreReply& reply) {
            exchange->answer(
                isPage && reply.status.ok() ? storePageOf(reply, after) : storeResponseOf(*decoded, reply));
        });
    m_changed.Signal();
}

void PlatformStandin::WorkerServer::handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange)
{
    absl::StatusOr<batch::WorkerCall> call = workerCallOf(m_name, request);
    if (!call.ok()) {
        exchange->answer(malformedResponse(call.status()));
        return;
    }
    call->address = absl::StrCat(loopback, ":", m_server.port());
    absl::MutexLock lock(&m_platform.m_mutex);
    m_platform.advanceTimeline();
    m_platform.m_workers.call(*call, [exchange](const batch::WorkerReply& reply) {
        // The worker was out of reach, or its reply is lost.
        if (!reply.status.ok())
            exchange->drop();
        else
            exchange->answer(workerResponseOf(reply));
    });
    m_platform.m_changed.Signal();
}

void PlatformStandin::setRunTime(const std::string& payload, absl::Duration time)
{
    change([&](batch::BatchStore& /*store*/, batch::SimulatedWorkers& workers) { workers.setRunTime(payload, time); });
}

void PlatformStandin::change(const std::function<void(batch::BatchStore&, batch::SimulatedWorkers&)>& action)
{
    absl::MutexLock lock(&m_mutex);
    advanceTimeline();
    action(m_store, m_workers);
    m_changed.Signal();
}

int PlatformStandin::startCount(const std::string& job)
{
    absl::MutexLock lock(&m_mutex);
    return m_workers.startCount(job);
}

std::vector<std::string> PlatformStandin::ruleViolations()
{
    absl::MutexLock lock(&m_mutex);
    return m_workers.violations();
}

} // namespace mangohall::platform
