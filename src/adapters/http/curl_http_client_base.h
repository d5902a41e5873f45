#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "adapters/http/curl_connection_group_base.h"
#include "adapters/http/curl_socket_registry_base.h"
#include "adapters/http/curl_transfer_base.h"
#include "adapters/http/http_client_port.h"
#include "adapters/http/socket_poller_base.h"
#include "ports/clock_port.h"

namespace mangohall {

// Connection limits of a CurlHttpClient.
struct CurlHttpClientOptions {
    // Maximum number of connections to one host, including those of streams. Further requests wait for a connection;
    // the wait counts towards their timeout.
    std::size_t connectionsPerHost = 64;
    // Maximum number of idle connections that are kept open, up to an uneven distribution of the hosts. If hosts are
    // called in turn and there are more of them than this, each call needs a new connection.
    std::size_t idleConnections = 1024;
};

// HTTP client on libcurl with one thread for all requests. When a request times out, all idle connections to its host
// are shut down, because established connections may have stopped working while new ones still work. Its own connection
// is reset, so that no part of the request arrives after its end. A request whose deadline has passed before it could
// be sent is not sent any more, so that a process that was suspended does not act on old decisions.
class CurlHttpClient : public HttpClient {
public:
    // The clock must outlive the client.
    CurlHttpClient(const Clock& clock, const CurlHttpClientOptions& options);
    // Ends unfinished requests with OutcomeUnknown.
    ~CurlHttpClient() override;
    CurlHttpClient(const CurlHttpClient&) = delete;
    CurlHttpClient& operator=(const CurlHttpClient&) = delete;

    void send(const HttpRequest& request, Done done) override;
    void stream(const HttpRequest& request, Piece piece, Done done) override;

private:
    using TransferPointer = std::unique_ptr<CurlTransfer>;

    // Time at which the deadline of a transfer is checked. The deadline of a stream may be later by then, since
    // received data extends it.
    struct DeadlineCheck {
        absl::Time at;
        // Id of the transfer.
        std::uint64_t id = 0;

        friend bool operator<(const DeadlineCheck& left, const DeadlineCheck& right)
        {
            return left.at != right.at ? left.at < right.at : left.id < right.id;
        }
    };

    // Transfers to one host.
    struct HostQueue {
        // Number of started transfers.
        std::size_t activeCount = 0;
        // Ids of the transfers that wait for a connection, oldest first. Some may have ended meanwhile.
        std::deque<std::uint64_t> waiting;
    };

    void enqueue(const HttpRequest& request, Piece piece, Done done);
    // Main function of the client's thread.
    void run();
    // Waits for sockets, or for the next timer, and processes the ready ones.
    void waitAndRead();
    // Adds the transfers of m_incoming. Returns false once the client is stopping.
    bool acceptIncoming();
    // Registers a transfer and starts it if its host has a free connection.
    void addTransfer(TransferPointer transfer);
    // Starts waiting transfers of the host up to the connection limit, and ends those whose deadline has passed.
    void startWaitingTransfers(const std::string& hostName);
    // Hands a transfer to the library.
    void start(CurlTransfer& transfer);
    // Ends the transfers that the library has completed.
    void endCompletedTransfers();
    // Ends with TimedOut all transfers without a response by their deadline.
    void endTimedOutTransfers();
    // Removes a transfer, reports its result and starts the next one that waits for the host.
    void end(std::uint64_t id, const absl::Status& status);
    // Shuts down the idle connections to the host of a transfer that has timed out.
    void shutDownIdleConnections(const CurlTransfer& timedOut);
    // Processes the transfers whose sockets are ready.
    void processReadySockets(absl::Span<const SocketPoller::Ready> ready);
    // Starts new transfers in the library and processes its expired timers.
    void processTimers();
    // Time until the next timer of the library or the next deadline check.
    absl::Duration nextWait() const;
    // Returns an unused handle of the library, or a new one.
    CURL* acquireHandle();

    CurlConnectionGroup& groupOf(absl::string_view host);

    const Clock& m_clock;
    const CurlHttpClientOptions m_options;
    SocketPoller m_poller;

    absl::Mutex m_mutex;
    // Requests that the client's thread has not accepted yet.
    std::vector<TransferPointer> m_incoming ABSL_GUARDED_BY(m_mutex);
    // Id of the newest transfer; ids count from 1.
    std::uint64_t m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;

    // The members below are used by the client's thread only.
    CurlSocketRegistry m_sockets;
    // The groups of the hosts, by a hash of the host. They close their sockets in the registry.
    std::vector<std::unique_ptr<CurlConnectionGroup>> m_groups;
    // Unfinished transfers, waiting or started, by id.
    absl::flat_hash_map<std::uint64_t, TransferPointer> m_transfers;
    // Queues of the hosts that have unfinished transfers, by "host:port".
    absl::flat_hash_map<std::string, HostQueue> m_hostQueues;
    // One deadline check for each unfinished transfer, in order of time.
    std::set<DeadlineCheck> m_deadlineChecks;
    // Everything that had arrived by this time has been read.
    absl::Time m_readUntil = absl::InfinitePast();
    // Unused handles of the library, kept for later transfers.
    std::vector<CURL*> m_freeHandles;
    std::thread m_thread;
};

} // namespace mangohall
