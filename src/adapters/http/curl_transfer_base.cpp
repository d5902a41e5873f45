#include "adapters/http/curl_transfer_base.h"

#include <sys/socket.h>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr absl::string_view schemeEnd = "://";

// Returns the part "host:port" of a URL.
std::string hostOf(absl::string_view url)
{
    const std::size_t scheme = url.find(schemeEnd);
    if (scheme != absl::string_view::npos)
        url.remove_prefix(scheme + schemeEnd.size());
    return std::string(url.substr(0, url.find_first_of("/?#")));
}

} // namespace

CurlTransfer::CurlTransfer(
    std::uint64_t id, const HttpRequest& request, HttpClient::Piece piece, HttpClient::Done done, const Clock& clock)
    : m_id(id)
    , m_request(request)
    , m_host(hostOf(request.url))
    , m_clock(clock)
    , m_onBodyPart(std::move(piece))
    , m_onResponse(std::move(done))
    , m_createdAt(clock.now())
    , m_acceptedAt(m_createdAt)
    , m_deadline(m_createdAt + request.timeout)
{
}

CurlTransfer::~CurlTransfer()
{
    curl_slist_free_all(m_headers);
}

void CurlTransfer::prepare(CURL* handle, CurlSocketRegistry& sockets)
{
    m_handle = handle;
    m_sockets = &sockets;
    setRequest();
    setCallbacks();
}

void CurlTransfer::finish(const absl::Status& status)
{
    if (!status.ok()) {
        m_onResponse(m_mayHaveBeenSent ? status : markNotSent(status));
        return;
    }
    long code = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &code);
    m_response.status = static_cast<int>(code);
    m_onResponse(std::move(m_response));
}

absl::Status CurlTransfer::statusOf(CURLcode code) const
{
    // Closing a stream on request of its callback is not a failure.
    if (code == CURLE_OK || m_isClosedByReceiver)
        return absl::OkStatus();
    if (m_isTooLarge)
        return makeError(ErrorKind::BodyTooLarge, absl::StrCat(m_host, ": the response is too large"));
    // `onConnected` has ended the transfer.
    if (code == CURLE_ABORTED_BY_CALLBACK && m_mayHaveBeenSent)
        return makeError(
            ErrorKind::OutcomeUnknown, absl::StrCat(m_host, ": the connection was closed without a response"));
    if (code == CURLE_ABORTED_BY_CALLBACK)
        return makeError(ErrorKind::TimedOut, absl::StrCat(m_host, ": not sent in time"));
    const std::string message = absl::StrCat(m_host, ": ", curl_easy_strerror(code));
    if (code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST)
        return makeError(ErrorKind::OutcomeUnknown, message);
    // If no connection was established, nothing was sent. However, when a reused connection is closed without a
    // response, the library makes a new one by itself; the failure is then that of the new connection, and the request
    // may have been sent on the first one.
    return makeError(m_mayHaveBeenSent ? ErrorKind::PeerGone : ErrorKind::OwnerUnreachable, message);
}

void CurlTransfer::setRequest()
{
    // An empty Expect header keeps the library from waiting for 100 Continue before it sends a large body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    for (const HttpHeader& header : m_request.headers)
        m_headers = curl_slist_append(m_headers, absl::StrCat(header.name, ": ", header.value).c_str());
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    // The end of a transfer does not wait for its name lookup, which would hold up all other transfers.
    curl_easy_setopt(m_handle, CURLOPT_QUICK_EXIT, 1L);
    if (m_request.method != "GET" || !m_request.body.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
}

void CurlTransfer::setCallbacks()
{
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &CurlTransfer::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_OPENSOCKETFUNCTION, &CurlTransfer::onOpenSocket);
    curl_easy_setopt(m_handle, CURLOPT_OPENSOCKETDATA, this);
    // A connection outlives the transfer that opened it, so this callback gets the registry instead of the transfer.
    curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETFUNCTION, &CurlTransfer::onCloseSocket);
    curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETDATA, m_sockets);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &CurlTransfer::onConnected);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
}

bool CurlTransfer::handleBody(absl::string_view data)
{
    if (m_onBodyPart != nullptr) {
        m_deadline = m_clock.now() + m_request.timeout;
        m_isClosedByReceiver = !m_onBodyPart(data);
        return !m_isClosedByReceiver;
    }
    if (m_response.body.size() + data.size() > m_request.maxResponseBytes) {
        m_isTooLarge = true;
        return false;
    }
    m_response.body.append(data.data(), data.size());
    return true;
}

void CurlTransfer::handleHeader(absl::string_view line)
{
    if (absl::StartsWith(line, "HTTP/")) {
        m_response.headers.clear();
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos)
        return;
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    m_response.headers.push_back({ std::string(line.substr(0, colon)), std::string(value) });
}

std::size_t CurlTransfer::onBody(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::size_t bytes = size * count;
    const bool isAccepted = static_cast<CurlTransfer*>(self)->handleBody(absl::string_view(data, bytes));
    // A return value other than the given number of bytes makes the library end the transfer.
    return isAccepted ? bytes : bytes + 1;
}

std::size_t CurlTransfer::onHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    static_cast<CurlTransfer*>(self)->handleHeader(absl::string_view(data, size * count));
    return size * count;
}

curl_socket_t CurlTransfer::onOpenSocket(void* self, curlsocktype /*purpose*/, curl_sockaddr* address)
{
    const int socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    static_cast<CurlTransfer*>(self)->m_openedSocket = socket;
    return socket;
}

int CurlTransfer::onCloseSocket(void* registry, curl_socket_t socket)
{
    return static_cast<CurlSocketRegistry*>(registry)->close(socket);
}

// The library calls this each time it is about to send the request. It does so again by itself if a reused connection
// is closed without a response; the request may have been executed then, and the response to the second sending would
// pass for that to the only one.
int CurlTransfer::onConnected(void* self, char* /*remoteIp*/, char* /*localIp*/, int /*remotePort*/, int localPort)
{
    auto* transfer = static_cast<CurlTransfer*>(self);
    if (transfer->m_mayHaveBeenSent && !transfer->isSafe())
        return CURL_PREREQFUNC_ABORT;
    // Making the connection may have taken long, or the process was suspended meanwhile.
    if (transfer->isTooLateToSend())
        return CURL_PREREQFUNC_ABORT;
    // The connection may have been opened by an earlier transfer, so the socket is found by its local port.
    transfer->m_mayHaveBeenSent = true;
    const auto port = static_cast<std::uint16_t>(localPort);
    transfer->m_socket = transfer->m_sockets->findByLocalPort(transfer->m_host, port);
    if (transfer->m_socket < 0 && transfer->m_sockets->add(transfer->m_host, transfer->m_openedSocket, port))
        transfer->m_socket = transfer->m_openedSocket;
    return CURL_PREREQFUNC_OK;
}

} // namespace mangohall
