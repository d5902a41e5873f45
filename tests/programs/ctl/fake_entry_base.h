// Fakes of the external interfaces of mangohallctl, and a fixture that runs the client against them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "adapters/http/http_client_port.h"
#include "core/error_type.h"
#include "core/name_type.h"
#include "nlohmann/json.hpp"
#include "programs/ctl/client_func.h"

namespace mangohall {

// Plays every entry that the client calls: it stores the declared resources and responds on the calling thread.
class FakeEntry : public HttpClient {
public:
    // Responds to one request in place of serve().
    using Handler = std::function<absl::StatusOr<HttpResponse>(const HttpRequest&)>;

    void send(const HttpRequest& request, Done done) override;
    void stream(const HttpRequest& request, Piece piece, Done done) override;

    // Responds to a request from the stored resources.
    absl::StatusOr<HttpResponse> serve(const HttpRequest& request);

    // Handlers of the next requests, one each. All later requests are handled by serve().
    std::deque<Handler> m_handlers;
    // All requests so far, streams included.
    std::vector<HttpRequest> m_requests;
    // The responses to the next streams, one each. Without one, the connection is refused.
    std::deque<HttpResponse> m_streamResponses;
    // The stored resources by path, for example "/v1/drains/rack-r1".
    std::map<std::string, nlohmann::json> m_objects;
    // The revision of the last change.
    Revision m_revision = 10;

private:
    HttpResponse list(const std::string& prefix) const;
    HttpResponse put(const std::string& path, const HttpRequest& request);
};

// Makes the response that reports an error. The revisions are those of a RevisionConflict.
HttpResponse errorResponse(ErrorKind kind, Revision expected = 0, Revision present = 0);

// The error of a request that timed out. The request may or may not have taken effect.
absl::Status lostResponse();

// The error of a request whose connection was refused. The request has not taken effect.
absl::Status refusedConnection();

// Returns the same sequence of numbers in [0, 1) in every run.
class FixedRandom : public RandomSource {
public:
    double uniform() override
    {
        m_value += 0.07;
        return m_value -= m_value >= 1 ? 1 : 0;
    }

private:
    double m_value = 0;
};

// Records each pause and returns at once.
class RecordingPause : public Pause {
public:
    void pauseFor(absl::Duration duration) override { m_pauses.push_back(duration); }

    std::vector<absl::Duration> m_pauses;
};

// Runs the client against a FakeEntry.
class ClientFixture {
public:
    // Runs the client with two entries, http://one and http://two, a token and the given words of the command line.
    ExitCode run(std::vector<std::string> words);

    FakeEntry m_entry;
    FixedRandom m_random;
    RecordingPause m_pause;
    std::ostringstream m_out;
    std::ostringstream m_errors;
};

// Writes a file into the temporary directory of the running test and returns its path.
std::string writeFile(const std::string& name, const std::string& text);

} // namespace mangohall
