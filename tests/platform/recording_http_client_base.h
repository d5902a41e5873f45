// An HTTP client for tests that keeps its requests and answers none by itself.
#pragma once

#include <utility>
#include <vector>

#include "adapters/http/http_client_port.h"

namespace mangohall::platform {

// Records each request and its callback.
class RecordingHttpClient : public HttpClient {
public:
    // A request that was sent, and the callback for its response.
    struct SentRequest {
        HttpRequest request;
        Done done;
    };

    void send(const HttpRequest& request, Done done) override { m_sent.push_back({ request, std::move(done) }); }
    void stream(const HttpRequest& request, Piece /*piece*/, Done done) override { send(request, std::move(done)); }

    // All requests so far, oldest first.
    const std::vector<SentRequest>& sent() const { return m_sent; }

private:
    std::vector<SentRequest> m_sent;
};

} // namespace mangohall::platform
