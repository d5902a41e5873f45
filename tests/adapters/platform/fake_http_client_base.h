#pragma once

#include <string>
#include <utility>
#include <vector>

#include "adapters/http/http_client_port.h"

namespace mangohall {

// An HTTP client that stores the requests until the test responds. Used by one thread.
class FakeHttpClient : public HttpClient {
public:
    struct Sent {
        HttpRequest request;
        Piece piece;
        Done done;
    };

    void send(const HttpRequest& request, Done done) override
    {
        m_sent.push_back({ request, nullptr, std::move(done) });
    }

    void stream(const HttpRequest& request, Piece piece, Done done) override
    {
        m_sent.push_back({ request, std::move(piece), std::move(done) });
    }

    std::size_t sentCount() const { return m_sent.size(); }
    const HttpRequest& lastRequest() const { return m_sent.back().request; }

    // Completes the last request with a response.
    void respond(int status, absl::string_view body)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::string(body);
        finish(std::move(response));
    }

    // Completes the last request with a response or an error.
    void finish(absl::StatusOr<HttpResponse> response)
    {
        const Done done = m_sent.back().done;
        done(std::move(response));
    }

    // Delivers a piece of the stream of the last request. Returns false if the receiver wants no more.
    bool sendPiece(absl::string_view piece)
    {
        const Piece handlePiece = m_sent.back().piece;
        return handlePiece(piece);
    }

private:
    std::vector<Sent> m_sent;
};

} // namespace mangohall
