#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace mangohall {

// One header of a request or response.
struct HttpHeader {
    std::string name;
    std::string value;
};

// A request to send.
struct HttpRequest {
    std::string method = "GET";
    // Absolute URL, http or https.
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    // Timeout of the whole exchange. For a stream, the longest time without received data. A response that arrives in
    // time counts also if the client is late to read it.
    absl::Duration timeout = absl::Seconds(2);
    // A response whose body is longer ends the request with BodyTooLarge, unless it is streamed.
    std::size_t maxResponseBytes = std::size_t { 64 } << 20U;
    // The request is not sent later than this, though its timeout may pass later.
    absl::Time sendUntil = absl::InfiniteFuture();
};

// A complete response.
struct HttpResponse {
    // HTTP status code.
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

// Asynchronous HTTP client. It does not use a thread for each request.
class HttpClient {
public:
    // Called with the response, or with the error that ended the request.
    using Done = std::function<void(absl::StatusOr<HttpResponse>)>;
    // Called with each part of a streamed body as it arrives; returns false to close the stream.
    using Piece = std::function<bool(absl::string_view)>;

    virtual ~HttpClient() = default;

    // Sends a request and returns without waiting. `done` is called exactly once, on the client's own thread. The
    // request is sent at most once, unless it is a GET. A status other than OK means that no complete response arrived;
    // the request may or may not have taken effect, unless `isNotSent` is true of the status. The error kind
    // OwnerUnreachable means that no connection was established, so the request has not taken effect either. PeerGone
    // means that there was a connection before and that a new one is refused.
    virtual void send(const HttpRequest& request, Done done) = 0;

    // Like `send`, but passes the response body to `piece` part by part. The response given to `done` has an empty
    // body.
    virtual void stream(const HttpRequest& request, Piece piece, Done done) = 0;
};

} // namespace mangohall
