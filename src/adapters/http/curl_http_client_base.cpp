#include "adapters/http/curl_http_client_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr absl::Duration longestWait = absl::Seconds(60);
constexpr std::size_t maxFreeHandles = 64;

CURLM* makeMulti()
{
    static const CURLcode isInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(isInitialised);
    return curl_multi_init();
}

} // namespace

CurlHttpClient::CurlHttpClient(const Clock& clock, const CurlHttpClientOptions& options)
    : m_clock(clock)
    , m_options(options)
    , m_multi(makeMulti())
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.idleConnections));
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlHttpClient::onSocketWatch);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    m_thread = std::thread([this] { work(); });
}

CurlHttpClient::~CurlHttpClient()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_isStopping = true;
    }
    m_poller.wake();
    m_thread.join();
    for (CURL* handle : m_freeHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
}

void CurlHttpClient::send(const HttpRequest& request, Done done)
{
    enqueue(request, nullptr, std::move(done));
}

void CurlHttpClient::stream(const HttpRequest& request, Piece piece, Done done)
{
    enqueue(request, std::move(piece), std::move(done));
}

void CurlHttpClient::enqueue(const HttpRequest& request, Piece piece, Done done)
{
    {
        const absl::MutexLock lock(&m_mutex);
        const std::uint64_t id = ++m_lastId;
        m_incoming.push_back(std::make_unique<CurlTransfer>(id, request, std::move(piece), std::move(done), m_clock));
    }
    m_poller.wake();
}

void CurlHttpClient::work()
{
    while (takeIncoming()) {
        performDue();
        takeResults();
        giveUpLate();
        perform(m_poller.wait(nextWait()));
    }
    while (!m_transfers.empty())
        end(m_transfers.begin()->first, makeError(ErrorKind::OutcomeUnknown, "the client is stopping"));
}

// Returns false once the client is stopping.
bool CurlHttpClient::takeIncoming()
{
    std::vector<TransferPointer> incoming;
    bool isStopping = false;
    {
        const absl::MutexLock lock(&m_mutex);
        incoming.swap(m_incoming);
        isStopping = m_isStopping;
    }
    for (TransferPointer& transfer : incoming)
        accept(std::move(transfer));
    return !isStopping;
}

void CurlHttpClient::accept(TransferPointer transfer)
{
    const std::uint64_t id = transfer->id();
    const std::string host = transfer->host();
    m_alarms.insert({ transfer->deadline(), id });
    m_transfers.emplace(id, std::move(transfer));
    m_hosts[host].waiting.push_back(id);
    startWaiting(host);
}

void CurlHttpClient::startWaiting(const std::string& hostName)
{
    const auto found = m_hosts.find(hostName);
    if (found == m_hosts.end())
        return;
    Host& host = found->second;
    while (!host.waiting.empty() && host.activeCount < m_options.connectionsPerHost) {
        // One that has ended while it was waiting is gone from the transfers.
        const auto next = m_transfers.find(host.waiting.front());
        host.waiting.pop_front();
        if (next == m_transfers.end())
            continue;
        ++host.activeCount;
        start(*next->second);
    }
    if (host.activeCount == 0 && host.waiting.empty())
        m_hosts.erase(found);
}

void CurlHttpClient::start(CurlTransfer& transfer)
{
    transfer.prepare(takeHandle(), m_sockets);
    curl_multi_add_handle(m_multi, transfer.handle());
}

CURL* CurlHttpClient::takeHandle()
{
    if (m_freeHandles.empty())
        return curl_easy_init();
    CURL* handle = m_freeHandles.back();
    m_freeHandles.pop_back();
    return handle;
}

void CurlHttpClient::takeResults()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CurlTransfer* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        end(transfer->id(), transfer->statusOf(message->data.result));
    }
}

void CurlHttpClient::giveUpLate()
{
    const absl::Time now = m_clock.now();
    while (!m_alarms.empty() && m_alarms.begin()->at <= now) {
        const std::uint64_t id = m_alarms.begin()->id;
        m_alarms.erase(m_alarms.begin());
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            continue;
        const CurlTransfer& transfer = *found->second;
        if (transfer.deadline() > now) {
            m_alarms.insert({ transfer.deadline(), id });
            continue;
        }
        abandonIdleConnections(transfer);
        end(id, makeError(ErrorKind::TimedOut, absl::StrCat(transfer.host(), ": no answer in time")));
    }
}

// The late transfer's own connection is closed by the library, since it is taken out in the middle.
void CurlHttpClient::abandonIdleConnections(const CurlTransfer& late)
{
    absl::flat_hash_set<int> inUse;
    for (const auto& entry : m_transfers) {
        if (entry.second->socket() >= 0)
            inUse.insert(entry.second->socket());
    }
    m_sockets.shutDownIdle(late.host(), inUse);
}

void CurlHttpClient::end(std::uint64_t id, const absl::Status& status)
{
    const auto found = m_transfers.find(id);
    const TransferPointer transfer = std::move(found->second);
    m_transfers.erase(found);
    m_alarms.erase({ transfer->deadline(), id });
    if (transfer->handle() != nullptr)
        curl_multi_remove_handle(m_multi, transfer->handle());
    transfer->finish(status);
    if (transfer->handle() == nullptr)
        return;
    if (m_freeHandles.size() < maxFreeHandles) {
        curl_easy_reset(transfer->handle());
        m_freeHandles.push_back(transfer->handle());
    } else {
        curl_easy_cleanup(transfer->handle());
    }
    --m_hosts[transfer->host()].activeCount;
    startWaiting(transfer->host());
}

absl::Duration CurlHttpClient::nextWait() const
{
    absl::Duration wait = longestWait;
    long libraryMilliseconds = -1;
    curl_multi_timeout(m_multi, &libraryMilliseconds);
    // What was due has been done; a remainder under a millisecond reads as none.
    if (libraryMilliseconds >= 0)
        wait = std::min(wait, absl::Milliseconds(std::max(libraryMilliseconds, 1L)));
    if (!m_alarms.empty())
        wait = std::min(wait, m_alarms.begin()->at - m_clock.now());
    return std::max(wait, absl::ZeroDuration());
}

// Looks only at the transfers whose sockets are ready.
void CurlHttpClient::perform(absl::Span<const SocketPoller::Ready> ready)
{
    int running = 0;
    for (const SocketPoller::Ready& one : ready) {
        int what = one.isReadable ? CURL_CSELECT_IN : 0;
        what |= one.isWritable ? CURL_CSELECT_OUT : 0;
        what |= one.hasFailed ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(m_multi, one.socket, what, &running);
    }
}

// Begins new transfers, and serves the library's own timers.
void CurlHttpClient::performDue()
{
    long libraryMilliseconds = -1;
    curl_multi_timeout(m_multi, &libraryMilliseconds);
    if (libraryMilliseconds != 0)
        return;
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

int CurlHttpClient::onSocketWatch(CURL* /*handle*/, curl_socket_t socket, int what, void* self, void* /*state*/)
{
    SocketPoller& poller = static_cast<CurlHttpClient*>(self)->m_poller;
    if (what == CURL_POLL_REMOVE) {
        poller.forget(socket);
        return 0;
    }
    // Told as a failure, the library would end every transfer for ever. The one of this socket ends by its timeout,
    // which says so to whoever waits for it.
    static_cast<void>(poller.watch(socket, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0));
    return 0;
}

} // namespace mangohall
