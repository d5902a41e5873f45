#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace mangohall {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    // For the whole exchange; a stream ends after this long without a byte.
    absl::Duration timeout = absl::Seconds(2);
};

struct HttpResponse {
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
};

// Sends HTTP requests without a thread for each.
class HttpClient {
public:
    using Done = std::function<void(absl::StatusOr<HttpResponse>)>;
    // Takes a piece of a streamed body as it arrives; returns false to close the stream.
    using Piece = std::function<bool(absl::string_view)>;

    virtual ~HttpClient() = default;

    // Returns at once. `done` is called once from the client's own thread; a status other than OK means that no whole
    // response arrived, and the request may or may not have taken effect; the kind OwnerUnreachable says that no
    // connection was made, so that it has not; PeerGone that there was one, and that nobody listens any more.
    virtual void send(const HttpRequest& request, Done done) = 0;

    // The same with a body that is taken piece by piece. The response given to `done` has an empty body.
    virtual void stream(const HttpRequest& request, Piece piece, Done done) = 0;
};

} // namespace mangohall
