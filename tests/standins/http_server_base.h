// An HTTP server for stand-ins. It has one thread, and any number of requests may be waiting for their answer.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "adapters/http/http_client_port.h"

struct MHD_Daemon;

namespace mangohall {

// A request that the server has received.
struct ServedRequest {
    std::string method;
    // The path without the query arguments.
    std::string path;
    std::vector<HttpHeader> arguments;
    std::string body;

    // Returns the value of a query argument, empty if it is absent.
    absl::string_view argument(absl::string_view name) const;
};

// Answers one request, from any thread and at any time. Calls after the answer is complete do nothing.
class Exchange {
public:
    virtual ~Exchange() = default;

    // Returns the number of the connection. A connection that is opened later has a larger number.
    virtual std::uint64_t connection() const = 0;

    // Sends the complete answer.
    virtual void answer(const HttpResponse& response) = 0;

    // Send an answer in pieces: `begin`, any number of `write`, then `end`. `write` returns false once the client has
    // disconnected.
    virtual void begin() = 0;
    virtual bool write(absl::string_view piece) = 0;
    virtual void end() = 0;

    // Closes the connection without sending anything more.
    virtual void drop() = 0;
};

// Handles the requests of a server.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    // Handles a request. Called on the server's thread, so it must not block.
    virtual void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) = 0;
};

class ServedExchange;

// Serves requests on one port until it is stopped.
class HttpServer {
public:
    // The handler must outlive the server.
    explicit HttpServer(RequestHandler& handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Listens on the port of the IP address; port 0 picks a free one. InvalidValue if the address is malformed,
    // Internal if the port cannot be opened.
    absl::Status start(absl::string_view ip, std::uint16_t port);

    // Returns the port on which the server listens.
    std::uint16_t port() const;

    // Drops the requests that are not answered and closes every connection.
    void stop();

    // Register and unregister an open exchange. `add` returns false if the server is stopping.
    bool add(const std::shared_ptr<ServedExchange>& exchange);
    void remove(const std::shared_ptr<ServedExchange>& exchange);

    RequestHandler& handler() { return m_handler; }
    // Returns the number for a new connection.
    std::uint64_t nextConnection();

private:
    RequestHandler& m_handler;
    MHD_Daemon* m_daemon = nullptr;
    absl::Mutex m_mutex;
    // The exchanges that are not closed.
    std::set<std::shared_ptr<ServedExchange>> m_open ABSL_GUARDED_BY(m_mutex);
    // Number of connections so far.
    std::uint64_t m_connections ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace mangohall
