#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "adapters/http/http_client_port.h"

namespace mangohall {

// Waits for the response to one request and collects the body of a streamed one. It must outlive the request.
class ResponseWaiter {
public:
    // Returns the callback that receives the response.
    HttpClient::Done done()
    {
        return [this](absl::StatusOr<HttpResponse> response) {
            const absl::MutexLock lock(&m_mutex);
            m_response = std::move(response);
        };
    }

    // Returns the callback that receives the parts of a streamed body.
    HttpClient::Piece piece()
    {
        return [this](absl::string_view text) {
            const absl::MutexLock lock(&m_mutex);
            m_text.append(text.data(), text.size());
            return m_text.size() < m_closeAfterBytes;
        };
    }

    // Closes the stream once it has delivered this many bytes.
    void closeAfter(std::size_t bytes)
    {
        const absl::MutexLock lock(&m_mutex);
        m_closeAfterBytes = bytes;
    }

    // Waits for the response or the error and returns it.
    absl::StatusOr<HttpResponse> wait()
    {
        const absl::MutexLock lock(&m_mutex);
        auto hasResponse = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_response.has_value(); };
        m_mutex.Await(absl::Condition(&hasResponse));
        return *m_response;
    }

    // Waits until the bytes received on the stream are equal to the text.
    void waitForText(absl::string_view text)
    {
        const absl::MutexLock lock(&m_mutex);
        auto hasText = [this, text]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_text == text; };
        m_mutex.Await(absl::Condition(&hasText));
    }

private:
    absl::Mutex m_mutex;
    absl::optional<absl::StatusOr<HttpResponse>> m_response ABSL_GUARDED_BY(m_mutex);
    std::string m_text ABSL_GUARDED_BY(m_mutex);
    std::size_t m_closeAfterBytes ABSL_GUARDED_BY(m_mutex) = SIZE_MAX;
};

} // namespace mangohall
