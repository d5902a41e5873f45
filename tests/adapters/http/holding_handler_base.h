#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/http_server_base.h"

namespace mangohall {

// Request handler for tests. It answers /echo immediately with the request body and holds all other requests until the
// test takes and answers them.
class HoldingHandler : public RequestHandler {
public:
    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_connections.insert(exchange->connection());
        ++m_requests;
        if (request.path == "/echo") {
            HttpResponse response;
            response.status = 200;
            response.body = request.body;
            exchange->answer(response);
            return;
        }
        m_held.push_back(std::move(exchange));
    }

    // Waits for a held request and returns the oldest one.
    std::shared_ptr<Exchange> take()
    {
        const absl::MutexLock lock(&m_mutex);
        auto hasHeld = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !m_held.empty(); };
        m_mutex.Await(absl::Condition(&hasHeld));
        std::shared_ptr<Exchange> exchange = std::move(m_held.front());
        m_held.pop_front();
        return exchange;
    }

    // Number of connections on which requests have arrived.
    std::size_t connectionCount()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_connections.size();
    }

    // Number of requests that have arrived.
    std::size_t requestCount()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_requests;
    }

private:
    absl::Mutex m_mutex;
    std::deque<std::shared_ptr<Exchange>> m_held ABSL_GUARDED_BY(m_mutex);
    std::set<std::uint64_t> m_connections ABSL_GUARDED_BY(m_mutex);
    std::size_t m_requests ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace mangohall
