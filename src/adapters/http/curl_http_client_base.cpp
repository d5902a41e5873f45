#include "adapters/http/curl_http_client_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Longest wait for sockets when nothing else is due.
constexpr absl::Duration maxWait = absl::Seconds(60);
// Unused handles beyond this number are freed.
constexpr std::size_t maxFreeHandles = 64;

// Initialises the library on the first call.
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
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlHttpClient::onSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    m_thread = std::thread([this] { run(); });
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

void CurlHttpClient::run()
{
    while (acceptIncoming()) {
        processTimers();
        endCompletedTransfers();
        endTimedOutTransfers();
        processReadySockets(m_poller.wait(nextWait()));
    }
    while (!m_transfers.empty())
        end(m_transfers.begin()->first, makeError(ErrorKind::OutcomeUnknown, "the client is stopping"));
}

bool CurlHttpClient::acceptIncoming()
{
    std::vector<TransferPointer> incoming;
    bool isStopping = false;
    {
        const absl::MutexLock lock(&m_mutex);
        incoming.swap(m_incoming);
        isStopping = m_isStopping;
    }
    for (TransferPointer& transfer : incoming)
        addTransfer(std::move(transfer));
    return !isStopping;
}

void CurlHttpClient::addTransfer(TransferPointer transfer)
{
    const std::uint64_t id = transfer->id();
    const std::string host = transfer->host();
    m_deadlineChecks.insert({ transfer->deadline(), id });
    m_transfers.emplace(id, std::move(transfer));
    m_hostQueues[host].waiting.push_back(id);
    startWaitingTransfers(host);
}

void CurlHttpClient::startWaitingTransfers(const std::string& hostName)
{
    const auto found = m_hostQueues.find(hostName);
    if (found == m_hostQueues.end())
        return;
    HostQueue& queue = found->second;
    while (!queue.waiting.empty() && queue.activeCount < m_options.connectionsPerHost) {
        // A transfer that ended while it waited, by its timeout, is no longer in m_transfers.
        const auto next = m_transfers.find(queue.waiting.front());
        queue.waiting.pop_front();
        if (next == m_transfers.end())
            continue;
        ++queue.activeCount;
        start(*next->second);
    }
    if (queue.activeCount == 0 && queue.waiting.empty())
        m_hostQueues.erase(found);
}

void CurlHttpClient::start(CurlTransfer& transfer)
{
    transfer.prepare(acquireHandle(), m_sockets);
    curl_multi_add_handle(m_multi, transfer.handle());
}

CURL* CurlHttpClient::acquireHandle()
{
    if (m_freeHandles.empty())
        return curl_easy_init();
    CURL* handle = m_freeHandles.back();
    m_freeHandles.pop_back();
    return handle;
}

void CurlHttpClient::endCompletedTransfers()
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

void CurlHttpClient::endTimedOutTransfers()
{
    const absl::Time now = m_clock.now();
    while (!m_deadlineChecks.empty() && m_deadlineChecks.begin()->at <= now) {
        const std::uint64_t id = m_deadlineChecks.begin()->id;
        m_deadlineChecks.erase(m_deadlineChecks.begin());
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            continue;
        const CurlTransfer& transfer = *found->second;
        if (transfer.deadline() > now) {
            m_deadlineChecks.insert({ transfer.deadline(), id });
            continue;
        }
        shutDownIdleConnections(transfer);
        end(id, makeError(ErrorKind::TimedOut, absl::StrCat(transfer.host(), ": no response within the timeout")));
    }
}

// The connection of the timed-out transfer itself is closed by the library, because the transfer is removed before it
// is complete.
void CurlHttpClient::shutDownIdleConnections(const CurlTransfer& timedOut)
{
    absl::flat_hash_set<int> inUse;
    for (const auto& entry : m_transfers) {
        if (entry.second->socket() >= 0)
            inUse.insert(entry.second->socket());
    }
    m_sockets.shutDownIdle(timedOut.host(), inUse);
}

void CurlHttpClient::end(std::uint64_t id, const absl::Status& status)
{
    const auto found = m_transfers.find(id);
    const TransferPointer transfer = std::move(found->second);
    m_transfers.erase(found);
    m_deadlineChecks.erase({ transfer->deadline(), id });
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
    --m_hostQueues[transfer->host()].activeCount;
    startWaitingTransfers(transfer->host());
}

absl::Duration CurlHttpClient::nextWait() const
{
    absl::Duration wait = maxWait;
    long libraryMilliseconds = -1;
    curl_multi_timeout(m_multi, &libraryMilliseconds);
    // The timers that were due have been processed. The library reports a remainder below 1 ms as 0, hence the minimum.
    if (libraryMilliseconds >= 0)
        wait = std::min(wait, absl::Milliseconds(std::max(libraryMilliseconds, 1L)));
    if (!m_deadlineChecks.empty())
        wait = std::min(wait, m_deadlineChecks.begin()->at - m_clock.now());
    return std::max(wait, absl::ZeroDuration());
}

void CurlHttpClient::processReadySockets(absl::Span<const SocketPoller::Ready> ready)
{
    int running = 0;
    for (const SocketPoller::Ready& readySocket : ready) {
        int what = readySocket.isReadable ? CURL_CSELECT_IN : 0;
        what |= readySocket.isWritable ? CURL_CSELECT_OUT : 0;
        what |= readySocket.hasFailed ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(m_multi, readySocket.socket, what, &running);
    }
}

void CurlHttpClient::processTimers()
{
    long libraryMilliseconds = -1;
    curl_multi_timeout(m_multi, &libraryMilliseconds);
    if (libraryMilliseconds != 0)
        return;
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

int CurlHttpClient::onSocketChange(CURL* /*handle*/, curl_socket_t socket, int what, void* self, void* /*state*/)
{
    SocketPoller& poller = static_cast<CurlHttpClient*>(self)->m_poller;
    if (what == CURL_POLL_REMOVE) {
        poller.remove(socket);
        return 0;
    }
    // A failure is not returned to the library, since it would then end all transfers, even later ones. The transfer of
    // this socket ends by its timeout, which its caller gets as an error.
    static_cast<void>(poller.watch(socket, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0));
    return 0;
}

} // namespace mangohall
