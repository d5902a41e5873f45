#include "adapters/http/curl_http_client_base.h"

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Longest wait for sockets when nothing else is due.
constexpr absl::Duration maxWait = absl::Seconds(60);
// A request ends at the latest so long after its deadline.
constexpr absl::Duration longestReadDelay = absl::Seconds(1);
// Unused handles beyond this number are freed.
constexpr std::size_t maxFreeHandles = 64;
constexpr std::size_t maxGroups = 32;
// A client that keeps fewer idle connections has fewer groups.
constexpr std::size_t minIdlePerGroup = 32;
// Some groups have more hosts than others: a group may keep this share of its equal part, in percent.
constexpr std::size_t largestGroupPercent = 150;
constexpr std::size_t wholePercent = 100;

std::size_t groupCountFor(std::size_t idleConnections)
{
    return std::clamp<std::size_t>(idleConnections / minIdlePerGroup, 1, maxGroups);
}

std::size_t idlePerGroup(std::size_t idleConnections)
{
    const std::size_t groups = groupCountFor(idleConnections);
    if (groups == 1)
        return idleConnections;
    return idleConnections * largestGroupPercent / wholePercent / groups;
}

} // namespace

CurlHttpClient::CurlHttpClient(const Clock& clock, const CurlHttpClientOptions& options)
    : m_clock(clock)
    , m_options(options)
{
    for (std::size_t number = 0; number < groupCountFor(options.idleConnections); ++number) {
        m_groups.push_back(std::make_unique<CurlConnectionGroup>(
            m_poller, static_cast<std::uint32_t>(number), idlePerGroup(options.idleConnections)));
    }
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
        waitAndRead();
    }
    while (!m_transfers.empty())
        end(m_transfers.begin()->first, makeError(ErrorKind::OutcomeUnknown, "the client is stopping"));
}

void CurlHttpClient::waitAndRead()
{
    const absl::Duration longest = nextWait();
    const absl::Time waitedSince = m_clock.now();
    processReadySockets(m_poller.wait(longest));
    if (!m_poller.mayHaveMore())
        m_readUntil = waitedSince;
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
    transfer->markAccepted();
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
        if (next->second->isTooLateToSend()) {
            end(next->first, makeError(ErrorKind::TimedOut, absl::StrCat(hostName, ": not sent in time")));
            continue;
        }
        ++queue.activeCount;
        start(*next->second);
    }
    if (queue.activeCount == 0 && queue.waiting.empty())
        m_hostQueues.erase(found);
}

void CurlHttpClient::start(CurlTransfer& transfer)
{
    transfer.prepare(acquireHandle(), m_sockets);
    groupOf(transfer.host()).add(transfer.handle());
}

CurlConnectionGroup& CurlHttpClient::groupOf(absl::string_view host)
{
    return *m_groups[absl::Hash<absl::string_view>()(host) % m_groups.size()];
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
    for (const std::unique_ptr<CurlConnectionGroup>& group : m_groups) {
        while (const absl::optional<CurlConnectionGroup::Completed> completed = group->takeCompleted()) {
            CurlTransfer* transfer = nullptr;
            curl_easy_getinfo(completed->handle, CURLINFO_PRIVATE, &transfer);
            end(transfer->id(), transfer->statusOf(completed->code));
        }
    }
}

void CurlHttpClient::endTimedOutTransfers()
{
    // A response may lie unread that has arrived later than this; a client that is behind for long does not wait for
    // it.
    const absl::Time until = std::max(m_readUntil, m_clock.now() - longestReadDelay);
    while (!m_deadlineChecks.empty() && m_deadlineChecks.begin()->at <= until) {
        const std::uint64_t id = m_deadlineChecks.begin()->id;
        m_deadlineChecks.erase(m_deadlineChecks.begin());
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            continue;
        const CurlTransfer& transfer = *found->second;
        if (transfer.deadline() > until) {
            m_deadlineChecks.insert({ transfer.deadline(), id });
            continue;
        }
        shutDownIdleConnections(transfer);
        const absl::Status status
            = makeError(ErrorKind::TimedOut, absl::StrCat(transfer.host(), ": no response within the timeout"));
        end(id, markSenderDelay(status, transfer.senderDelay(m_readUntil)));
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
        groupOf(transfer->host()).remove(transfer->handle());
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
    const absl::Time now = m_clock.now();
    absl::Time next = now + maxWait;
    for (const std::unique_ptr<CurlConnectionGroup>& group : m_groups)
        next = std::min(next, group->nextTimer(now));
    if (!m_deadlineChecks.empty())
        next = std::min(next, m_deadlineChecks.begin()->at);
    return std::max(next - now, absl::ZeroDuration());
}

void CurlHttpClient::processReadySockets(absl::Span<const SocketPoller::Ready> ready)
{
    for (const SocketPoller::Ready& readySocket : ready)
        m_groups[readySocket.group]->processSocket(readySocket);
}

void CurlHttpClient::processTimers()
{
    const absl::Time now = m_clock.now();
    for (const std::unique_ptr<CurlConnectionGroup>& group : m_groups)
        group->processTimers(now);
}

} // namespace mangohall
