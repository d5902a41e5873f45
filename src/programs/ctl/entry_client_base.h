#pragma once

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "adapters/http/http_client_port.h"
#include "nlohmann/json.hpp"
#include "programs/ctl/exit_code_type.h"
#include "programs/ctl/global_options_type.h"

namespace mangohall {

// One request; any entry can serve it.
struct EntryRequest {
    std::string method = "GET";
    // Path and query of the URL.
    std::string target;
    // JSON text; empty if the request has no body.
    std::string body;
    std::vector<HttpHeader> headers;
    // Time that the request asks the system to wait for a result; added to the timeout of the request.
    absl::Duration wait;
};

// Result of a request.
struct EntryReply {
    enum class Outcome {
        // An entry answered.
        Answered,
        // No entry could be reached, so nothing was changed.
        Unreachable,
        // The request may have arrived, but no complete answer was received.
        Unknown,
    };

    Outcome outcome = Outcome::Unreachable;
    // HTTP status code of the answer; 0 without an answer.
    int httpStatus = 0;
    // Body of the answer as received, and parsed as JSON; `body` is discarded() if the text is not JSON.
    std::string text;
    nlohmann::json body;
    // Reason why there is no answer.
    std::string message;
    // True if the request only reads, so that its outcome cannot be an unknown change.
    bool isReadOnly = false;
    // True if the outcome of an earlier attempt at the same request is unknown: that attempt may have taken effect.
    bool isEarlierAttemptUnknown = false;

    // True if an entry answered with a 2xx status and the body holds no error.
    bool isSuccess() const;
    // True if an entry answered with this HTTP status.
    bool isStatus(int status) const { return outcome == Outcome::Answered && httpStatus == status; }
    // Name of the error kind, or an empty string if the answer is not an error.
    std::string errorKind() const;
    // True if the answer marks the error as retryable, or if no entry answered.
    bool isRetryable() const;
    // True if the request may have taken effect although the reply does not confirm it.
    bool isOutcomeUnknown() const;
    // Describes the error in one line.
    std::string describe() const;
};

// Returns the exit code for a reply.
ExitCode exitCodeOf(const EntryReply& reply);

// Sends each request to the entries in the order of the options, until one answers.
class EntryClient {
public:
    // The client and the options must outlive this object.
    EntryClient(HttpClient& client, const GlobalOptions& options);

    // Sends a request and blocks until an entry has answered or all have failed. Every request of the API is safe to
    // repeat, so the next entry is tried whenever one has not answered or is draining.
    EntryReply call(const EntryRequest& request);

    // Sends a request and passes the streamed body to `piece` until the stream ends or `piece` returns false. The reply
    // has a body only if the status is not 200.
    EntryReply stream(const EntryRequest& request, HttpClient::Piece piece);

private:
    // Builds the HTTP request to one entry, with token and timeout.
    HttpRequest toHttp(const EntryRequest& request, absl::string_view entry) const;

    HttpClient& m_client;
    const GlobalOptions& m_options;
};

} // namespace mangohall
