#include "adapters/api/api_server_base.h"

#include <string>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "adapters/api/api_connection_base.h"
#include "adapters/api/http_exchange_base.h"
#include "adapters/api/readiness_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Connections accepted beyond the limit for each thread, so that their requests get an error response.
constexpr std::size_t refusalMargin = 64;
// Time for the last responses of a stop to reach their clients.
constexpr absl::Duration lastAnswerTimeout = absl::Seconds(1);
constexpr absl::string_view heartbeatLine = "{\"heartbeat\":true}\n";

MHD_Result handleAccess(void* /*context*/, MHD_Connection* connection, const char* /*url*/, const char* method,
    const char* /*version*/, const char* data, std::size_t* size, void** exchange)
{
    return static_cast<HttpExchange*>(*exchange)->onAccess(connection, method, data, size);
}

void* beginExchange(void* context, const char* target, MHD_Connection* /*connection*/)
{
    // The library holds the pointer until it calls endExchange, which deletes it.
    return new HttpExchange(*static_cast<ApiContext*>(context), target);
}

void endExchange(
    void* /*context*/, MHD_Connection* /*connection*/, void** exchange, MHD_RequestTerminationCode /*reason*/)
{
    delete static_cast<HttpExchange*>(*exchange);
    *exchange = nullptr;
}

// Returns the IPv4 address of the client; empty if it is unknown.
std::string clientAddressOf(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr == nullptr || info->client_addr->sa_family != AF_INET)
        return "";
    const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
    return text;
}

// Follows connections as they open and close. `socketContext` refers to the ApiConnection, null before the first call.
void onConnectionNotification(
    void* context, MHD_Connection* connection, void** socketContext, MHD_ConnectionNotificationCode notification)
{
    if (notification == MHD_CONNECTION_NOTIFY_STARTED) {
        auto& server = *static_cast<ApiContext*>(context);
        *socketContext = new ApiConnection(server, connection, clientAddressOf(connection));
        return;
    }
    delete static_cast<ApiConnection*>(*socketContext);
    *socketContext = nullptr;
}

// Starts the HTTP server of the library; null on failure.
MHD_Daemon* startDaemon(ApiContext& context, const sockaddr_in& address)
{
    const ApiSettings& settings = context.settings;
    const unsigned hardLimit
        = static_cast<unsigned>(context.maxConnections + (refusalMargin * static_cast<std::size_t>(settings.threads)));
    // With epoll, the library's own thread and MHD_quiesce_daemon both remove the listening socket from the epoll set,
    // and the second removal aborts the process; hence poll.
    return MHD_start_daemon(MHD_USE_POLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, settings.port, nullptr, nullptr,
        &handleAccess, &context, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE, settings.threads,
        MHD_OPTION_CONNECTION_LIMIT, hardLimit, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        settings.maxHeaderBytes * connectionMemoryFactor, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(absl::ToInt64Seconds(settings.idleTimeout)), MHD_OPTION_URI_LOG_CALLBACK, &beginExchange,
        &context, MHD_OPTION_NOTIFY_COMPLETED, &endExchange, &context, MHD_OPTION_NOTIFY_CONNECTION,
        &onConnectionNotification, &context, MHD_OPTION_END);
}

std::string makeChangeIdPrefix(const ApiSettings& settings, const Clock& clock)
{
    return absl::StrCat(settings.nodeName.empty() ? "entry" : settings.nodeName, "-", absl::ToUnixNanos(clock.now()));
}

} // namespace

ApiServer::ApiServer(const ApiSettings& settings, EventSink& sink, const ReportSource& reports, const Clock& clock)
    : m_context(std::make_unique<ApiContext>(
        settings, sink, reports, static_cast<CloseListener&>(*this), clock, makeChangeIdPrefix(settings, clock)))
{
}

ApiServer::~ApiServer()
{
    stop(absl::ZeroDuration());
}

absl::Status ApiServer::start()
{
    const ApiSettings& settings = m_context->settings;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1)
        return makeError(ErrorKind::InvalidValue, absl::StrCat(settings.address, " is not an IPv4 address"));
    if (absl::Status status = m_context->closeWatcher.start(settings.watchHeartbeatPeriod); !status.ok())
        return status;
    m_daemon = startDaemon(*m_context, address);
    if (m_daemon == nullptr) {
        m_context->closeWatcher.stop();
        return makeError(ErrorKind::Internal, absl::StrCat("cannot listen on ", settings.address, ":", settings.port));
    }
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return absl::OkStatus();
}

void ApiServer::stop(absl::Duration grace)
{
    if (m_daemon == nullptr)
        return;
    m_context->isStopping = true;
    const int listener = MHD_quiesce_daemon(m_daemon);
    m_context->calls.endWatches();
    if (!awaitIdle(grace)) {
        m_context->calls.answerAll(
            encodeError(makeError(ErrorKind::TimedOut, "this entry is stopping; retry at another entry")));
        awaitIdle(lastAnswerTimeout);
    }
    // The library must not be stopped while a connection is suspended.
    m_context->calls.shutDown();
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    m_context->closeWatcher.stop();
    if (listener >= 0)
        ::close(listener);
}

bool ApiServer::awaitIdle(absl::Duration timeout)
{
    OpenRequestCount& openRequests = m_context->openRequests;
    const auto isIdle
        = [&openRequests]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(openRequests.mutex) { return openRequests.count == 0; };
    absl::MutexLock lock(&openRequests.mutex);
    return openRequests.mutex.AwaitWithTimeout(absl::Condition(&isIdle), timeout);
}

void ApiServer::setReady(bool isReady)
{
    m_context->isReady = isReady;
    if (isReady)
        probeReadiness(*m_context);
}

void ApiServer::answer(CallerId caller, const CallerAnswer& answer, bool isLast)
{
    if (caller == readinessCaller) {
        recordReadiness(*m_context, answer);
        return;
    }
    m_context->calls.answer(caller, encodeAnswer(answer), isLast);
}

void ApiServer::onClosed(CallerId caller)
{
    m_context->calls.abandon(caller);
}

void ApiServer::onHeartbeat()
{
    m_context->calls.sendHeartbeats(heartbeatLine);
    m_context->bodies.abandonLate();
}

std::uint64_t ApiServer::limitCount(ClientLimit limit) const
{
    return m_context->limits.count(limit);
}

std::size_t ApiServer::heldBodyBytes() const
{
    return m_context->bodies.heldBytes();
}

std::size_t ApiServer::connectionCount() const
{
    return m_context->connections.size();
}

} // namespace mangohall
