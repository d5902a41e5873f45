#include "standins/http_server_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "standins/served_exchange_base.h"

namespace mangohall {

namespace {

using ExchangePointer = std::shared_ptr<ServedExchange>;

constexpr unsigned maxConnections = 4096;

MHD_Result addArgument(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto* arguments = static_cast<std::vector<HttpHeader>*>(target);
    arguments->push_back({ name, value == nullptr ? "" : value });
    return MHD_YES;
}

void onConnection(void* server, MHD_Connection* /*connection*/, void** context, MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *context = new std::uint64_t(static_cast<HttpServer*>(server)->nextConnection());
        return;
    }
    delete static_cast<std::uint64_t*>(*context);
    *context = nullptr;
}

ExchangePointer makeExchange(MHD_Connection* connection, const char* url, const char* method)
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const std::uint64_t number = *static_cast<std::uint64_t*>(info->socket_context);
    auto exchange = std::make_shared<ServedExchange>(connection, number);
    exchange->request().method = method;
    exchange->request().path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addArgument, &exchange->request().arguments);
    return exchange;
}

MHD_Result onRequest(void* context, MHD_Connection* connection, const char* url, const char* method,
    const char* /*version*/, const char* data, std::size_t* dataSize, void** slot)
{
    auto* server = static_cast<HttpServer*>(context);
    if (*slot == nullptr) {
        const ExchangePointer exchange = makeExchange(connection, url, method);
        if (!server->add(exchange))
            return MHD_NO;
        *slot = new ExchangePointer(exchange);
        return MHD_YES;
    }
    const ExchangePointer exchange = *static_cast<ExchangePointer*>(*slot);
    if (*dataSize != 0) {
        exchange->request().body.append(data, *dataSize);
        *dataSize = 0;
        return MHD_YES;
    }
    if (exchange->markDispatched())
        server->handler().handle(exchange->request(), exchange);
    return exchange->proceed();
}

void onCompleted(void* server, MHD_Connection* /*connection*/, void** slot, MHD_RequestTerminationCode /*code*/)
{
    if (*slot == nullptr)
        return;
    const std::unique_ptr<ExchangePointer> exchange(static_cast<ExchangePointer*>(*slot));
    *slot = nullptr;
    (*exchange)->close();
    static_cast<HttpServer*>(server)->remove(*exchange);
}

} // namespace

absl::string_view ServedRequest::argument(absl::string_view name) const
{
    for (const HttpHeader& candidate : arguments) {
        if (candidate.name == name)
            return candidate.value;
    }
    return {};
}

HttpServer::HttpServer(RequestHandler& handler)
    : m_handler(handler)
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::start(absl::string_view ip, std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, std::string(ip).c_str(), &address.sin_addr) != 1)
        return makeError(ErrorKind::InvalidValue, absl::StrCat("address: \"", ip, "\" is not an IP address"));
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &onRequest, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_NOTIFY_CONNECTION, &onConnection, this,
        MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, this, MHD_OPTION_END);
    if (m_daemon == nullptr)
        return makeError(ErrorKind::Internal, absl::StrCat("cannot listen on ", ip, ":", port));
    return absl::OkStatus();
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void HttpServer::stop()
{
    if (m_daemon == nullptr)
        return;
    std::set<ExchangePointer> open;
    {
        const absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
        open = m_open;
    }
    // libmicrohttpd requires that no connection is suspended when the daemon stops.
    for (const ExchangePointer& exchange : open)
        exchange->drop();
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

bool HttpServer::add(const ExchangePointer& exchange)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_isStopping)
        return false;
    m_open.insert(exchange);
    return true;
}

void HttpServer::remove(const ExchangePointer& exchange)
{
    const absl::MutexLock lock(&m_mutex);
    m_open.erase(exchange);
}

std::uint64_t HttpServer::nextConnection()
{
    const absl::MutexLock lock(&m_mutex);
    return ++m_connections;
}

} // namespace mangohall
