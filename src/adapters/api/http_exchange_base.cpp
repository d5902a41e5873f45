#include "adapters/api/http_exchange_base.h"

#include <utility>
#include <variant>

#include <sys/socket.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "adapters/api/api_connection_base.h"
#include "adapters/api/readiness_func.h"
#include "adapters/api/route_func.h"
#include "adapters/api/target_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr const char* jsonType = "application/json";
constexpr const char* htmlType = "text/html; charset=utf-8";
constexpr const char* metricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char* jsonLinesType = "application/x-ndjson";
constexpr const char* retryAfterSeconds = "1";
constexpr int httpOk = 200;
constexpr int httpServiceUnavailable = 503;
bool isProbe(absl::string_view target)
{
    return target == "/healthz" || target == "/readyz";
}

constexpr std::size_t streamBlockBytes = std::size_t { 16 } << 10U;

MHD_Result collectHeader(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto* headers = static_cast<std::vector<ApiHeader>*>(target);
    headers->push_back({ name, value == nullptr ? "" : value });
    return MHD_YES;
}

ssize_t readStream(void* exchange, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    return static_cast<HttpExchange*>(exchange)->onRead(buffer, size);
}

std::size_t headBytes(const ApiRequest& request)
{
    std::size_t bytes = request.method.size() + request.target.size();
    for (const ApiHeader& header : request.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

HttpExchange::HttpExchange(ApiContext& context, absl::string_view target)
    : m_context(context)
{
    m_request.target = std::string(target);
    absl::MutexLock lock(&m_context.openRequests.mutex);
    ++m_context.openRequests.count;
}

HttpExchange::~HttpExchange()
{
    if (m_body != 0)
        m_context.bodies.end(m_body);
    if (m_caller != 0) {
        m_context.closeWatcher.remove(socket());
        if (m_context.calls.close(m_caller))
            m_context.sink.post(CallerDisconnectedEvent { m_caller });
    }
    absl::MutexLock lock(&m_context.openRequests.mutex);
    --m_context.openRequests.count;
}

MHD_Result HttpExchange::onAccess(
    MHD_Connection* connection, absl::string_view method, const char* data, std::size_t* size)
{
    m_connection = connection;
    if (m_stage == Stage::Head)
        return handleHead(method);
    if (*size > 0) {
        const absl::string_view piece(data, *size);
        *size = 0;
        if (ApiConnection* sender = ApiConnection::of(m_connection))
            sender->recordData();
        return handleBody(piece);
    }
    if (m_stage == Stage::Waiting)
        return continueCall();
    if (m_stage == Stage::Responding)
        return MHD_YES;
    return route();
}

MHD_Result HttpExchange::handleHead(absl::string_view method)
{
    m_stage = Stage::Body;
    m_request.method = std::string(method);
    MHD_get_connection_values(m_connection, MHD_HEADER_KIND, &collectHeader, &m_request.headers);
    m_refusal = checkHead();
    // A response that closes the connection while a body is arriving resets it, so that the client may never read the
    // response. A body within the limits is therefore read to its end, unless the client waits for a response before it
    // sends the body, or its connection is over a limit and must not stay.
    const bool isBodyRead = hasBody() && declaredBodyBytes() <= m_context.settings.maxBodyBytes
        && !findHeader(m_request.headers, "Expect").has_value()
        && errorKindOf(m_refusal) != ErrorKind::TooManyConnections;
    if (!m_refusal.ok() && !isBodyRead)
        return respondError(m_refusal);
    if (hasBody()) {
        m_bodySocket = socket();
        m_body = m_context.bodies.begin(*this, !m_refusal.ok());
    }
    return MHD_YES;
}

absl::Status HttpExchange::checkHead() const
{
    const ApiConnection* connection = ApiConnection::of(m_connection);
    // Supervisors have to reach the probes also while clients hold all connections.
    if (connection != nullptr && !connection->isWithinLimits() && !isProbe(m_request.target)) {
        m_context.limits.onLimit(ClientLimit::ConnectionRefused);
        return makeError(ErrorKind::TooManyConnections, "too many connections in total or from this address");
    }
    const ApiSettings& settings = m_context.settings;
    if (headBytes(m_request) > settings.maxHeaderBytes)
        return makeError(
            ErrorKind::BodyTooLarge, absl::StrCat("headers: larger than ", settings.maxHeaderBytes, " bytes"));
    if (declaredBodyBytes() > settings.maxBodyBytes) {
        m_context.limits.onLimit(ClientLimit::BodyTooLarge);
        return makeError(ErrorKind::BodyTooLarge, absl::StrCat("body: larger than ", settings.maxBodyBytes, " bytes"));
    }
    return hasBody() ? checkRouteOfHead(m_request, m_context.tokens, settings) : absl::OkStatus();
}

std::size_t HttpExchange::declaredBodyBytes() const
{
    std::size_t length = 0;
    const std::string text = findHeader(m_request.headers, "Content-Length").value_or("0");
    return absl::SimpleAtoi(text, &length) ? length : 0;
}

bool HttpExchange::hasBody() const
{
    return declaredBodyBytes() > 0 || findHeader(m_request.headers, "Transfer-Encoding").has_value();
}

MHD_Result HttpExchange::handleBody(absl::string_view piece)
{
    switch (m_context.bodies.append(m_body, piece)) {
    case BodyVerdict::Held:
        return MHD_YES;
    case BodyVerdict::Refused:
        // The library takes no response in the middle of a body.
        m_isBodyRefused = true;
        return MHD_YES;
    case BodyVerdict::Dropped:
        break;
    }
    return MHD_NO;
}

MHD_Result HttpExchange::route()
{
    if (ApiConnection* sender = ApiConnection::of(m_connection))
        sender->recordRequest();
    if (m_body != 0) {
        absl::optional<std::string> body = m_context.bodies.finish(m_body);
        m_body = 0;
        if (!body)
            return MHD_NO;
        if (!m_refusal.ok())
            return respondError(m_refusal);
        if (m_isBodyRefused)
            return respondBodyRefused();
        m_request.body = *std::move(body);
    }
    const std::string changeId = absl::StrCat(m_context.changeIdPrefix, "-", ++m_context.lastChangeNumber);
    const absl::StatusOr<Route> route = routeRequest(m_request, m_context.tokens, m_context.settings, changeId);
    // A waiting caller holds no body.
    std::string().swap(m_request.body);
    if (!route.ok())
        return respondError(route.status());
    if (const auto* page = std::get_if<LocalPage>(&*route))
        return respondPage(*page);
    if (m_context.isStopping)
        return respondError(makeError(ErrorKind::Draining, "this entry is stopping; retry at another entry"));
    return callNode(std::get<NodeRoute>(*route));
}

MHD_Result HttpExchange::callNode(const NodeRoute& route)
{
    const CallerId caller = ++m_context.lastCallerId;
    const bool isWatch = std::holds_alternative<WatchRequest>(route.request);
    if (const absl::Status status = m_context.calls.open(caller, *this, isWatch); !status.ok())
        return respondError(status);
    m_caller = caller;
    m_stage = Stage::Waiting;
    // The connection is suspended before the event is posted, so that an immediate answer can resume it.
    EncodedAnswer none;
    if (m_context.calls.step(caller, none) != CallStep::Wait)
        return MHD_NO;
    m_context.closeWatcher.add(socket(), caller);
    m_context.sink.post(CallerEvent { caller, route.identity, route.request });
    return MHD_YES;
}

MHD_Result HttpExchange::continueCall()
{
    EncodedAnswer answer;
    switch (m_context.calls.step(m_caller, answer)) {
    case CallStep::Wait:
        return MHD_YES;
    case CallStep::Answer:
        return respond(answer, jsonType);
    case CallStep::Stream:
        return respondStream();
    case CallStep::Close:
        break;
    }
    return MHD_NO;
}

ssize_t HttpExchange::onRead(char* buffer, std::size_t size)
{
    const StreamReadResult result = m_context.calls.readStream(m_caller, absl::MakeSpan(buffer, size));
    switch (result.kind) {
    case StreamReadResult::Kind::Data:
        return static_cast<ssize_t>(result.size);
    case StreamReadResult::Kind::Wait:
        return 0;
    case StreamReadResult::Kind::End:
        return MHD_CONTENT_READER_END_OF_STREAM;
    case StreamReadResult::Kind::Broken:
        break;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void HttpExchange::suspend()
{
    MHD_suspend_connection(m_connection);
}

void HttpExchange::resume()
{
    MHD_resume_connection(m_connection);
}

void HttpExchange::closeBodyConnection()
{
    // The thread of the library that serves the connection sees its end and closes it. The socket is still open: the
    // body is removed before the library closes it.
    ::shutdown(m_bodySocket, SHUT_RDWR);
}

MHD_Result HttpExchange::respondPage(LocalPage page)
{
    const ReportSource& reports = m_context.reports;
    switch (page) {
    case LocalPage::Health:
        return respond({ httpOk, R"({"status":"ok"})" }, jsonType);
    case LocalPage::Metrics:
        return respond({ httpOk, reports.metricsText() }, metricsType);
    case LocalPage::BurnReport:
        return respond({ httpOk, toJsonText(reports.burnReport()) }, jsonType);
    case LocalPage::BurnPage:
        return respond({ httpOk, reports.burnPage() }, htmlType);
    case LocalPage::Readiness:
        break;
    }
    if (m_context.isReady && !m_context.isStopping) {
        if (m_context.isConfigurationRead)
            return respond({ httpOk, R"({"ready":true})" }, jsonType);
        // The answer to this probe is reported by the next request for /readyz, so no timer is needed.
        probeReadiness(m_context);
    }
    return respond({ httpServiceUnavailable, R"({"ready":false})" }, jsonType);
}

MHD_Result HttpExchange::respondError(const absl::Status& status)
{
    return respond(encodeError(status), jsonType);
}

MHD_Result HttpExchange::respond(const EncodedAnswer& answer, const char* contentType)
{
    // The library does not write to the body; const_cast is needed because its interface takes a non-const pointer.
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    const bool isBusy = answer.httpStatus == MHD_HTTP_TOO_MANY_REQUESTS || answer.httpStatus == httpServiceUnavailable;
    if (response != nullptr && answer.isRetryable && isBusy)
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, retryAfterSeconds);
    return queueResponse(answer.httpStatus, response, contentType);
}

MHD_Result HttpExchange::respondBodyRefused()
{
    EncodedAnswer answer = encodeError(makeError(ErrorKind::RateLimited, "no memory left for request bodies"));
    answer.httpStatus = httpServiceUnavailable;
    return respond(answer, jsonType);
}

MHD_Result HttpExchange::respondStream()
{
    MHD_Response* response
        = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, &readStream, this, nullptr);
    return queueResponse(httpOk, response, jsonLinesType);
}

MHD_Result HttpExchange::queueResponse(int httpStatus, MHD_Response* response, const char* contentType)
{
    if (response == nullptr)
        return MHD_NO;
    m_stage = Stage::Responding;
    // A watch keeps its connection for as long as it lasts.
    ApiConnection* receiver = ApiConnection::of(m_connection);
    if (receiver != nullptr && contentType != jsonLinesType)
        receiver->recordResponse();
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, contentType);
    if (httpStatus == MHD_HTTP_UNAUTHORIZED)
        MHD_add_response_header(response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
    if (!m_refusal.ok() || m_isBodyRefused || m_context.isStopping)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned>(httpStatus), response);
    MHD_destroy_response(response);
    return result;
}

int HttpExchange::socket() const
{
    const MHD_ConnectionInfo* info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

} // namespace mangohall
