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
#include "adapters/http/curl_socket_registry_base.h"
#include "adapters/http/curl_transfer_base.h"
#include "adapters/http/http_client_port.h"
#include "adapters/http/socket_poller_base.h"
#include "ports/clock_port.h"

namespace mangohall {

struct CurlHttpClientOptions {
    // Connections to one host, streams among them; further requests wait for one, within their timeout.
    std::size_t connectionsPerHost = 64;
    // Connections that are kept while no request uses them. With fewer than there are hosts that are called in turn,
    // each call needs a new connection.
    std::size_t idleConnections = 1024;
};

// An HTTP client on libcurl with one thread for all requests. Once a request has timed out, no connection to its host
// that lay idle then is used again: open connections may have gone silent while new ones work.
class CurlHttpClient : public HttpClient {
public:
    // The clock has to outlive the client.
    CurlHttpClient(const Clock& clock, const CurlHttpClientOptions& options);
    // Requests that are not done end with OutcomeUnknown.
    ~CurlHttpClient() override;
    CurlHttpClient(const CurlHttpClient&) = delete;
    CurlHttpClient& operator=(const CurlHttpClient&) = delete;

    void send(const HttpRequest& request, Done done) override;
    void stream(const HttpRequest& request, Piece piece, Done done) override;

private:
    using TransferPointer = std::unique_ptr<CurlTransfer>;

    // When a transfer is looked at again. A stream's deadline may have moved on by then.
    struct Alarm {
        absl::Time at;
        std::uint64_t id = 0;

        friend bool operator<(const Alarm& left, const Alarm& right)
        {
            return left.at != right.at ? left.at < right.at : left.id < right.id;
        }
    };

    struct Host {
        std::size_t activeCount = 0;
        std::deque<std::uint64_t> waiting;
    };

    void enqueue(const HttpRequest& request, Piece piece, Done done);
    void work();
    bool takeIncoming();
    void accept(TransferPointer transfer);
    void startWaiting(const std::string& hostName);
    void start(CurlTransfer& transfer);
    void takeResults();
    void giveUpLate();
    void end(std::uint64_t id, const absl::Status& status);
    void abandonIdleConnections(const CurlTransfer& late);
    void perform(absl::Span<const SocketPoller::Ready> ready);
    void performDue();
    absl::Duration nextWait() const;
    CURL* takeHandle();

    // Called by the library.
    static int onSocketWatch(CURL* handle, curl_socket_t socket, int what, void* self, void* state);

    const Clock& m_clock;
    const CurlHttpClientOptions m_options;
    CURLM* const m_multi;
    SocketPoller m_poller;

    absl::Mutex m_mutex;
    std::vector<TransferPointer> m_incoming ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;

    // What follows belongs to the thread.
    CurlSocketRegistry m_sockets;
    absl::flat_hash_map<std::uint64_t, TransferPointer> m_transfers;
    absl::flat_hash_map<std::string, Host> m_hosts;
    std::set<Alarm> m_alarms;
    std::vector<CURL*> m_freeHandles;
    std::thread m_thread;
};

} // namespace mangohall
