#pragma once

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "microhttpd.h"
#include "standins/http_server_base.h"

namespace mangohall {

// One request on a libmicrohttpd connection. The connection is suspended while there is nothing to send.
class ServedExchange : public Exchange, public std::enable_shared_from_this<ServedExchange> {
public:
    ServedExchange(MHD_Connection* connection, std::uint64_t connectionNumber);

    std::uint64_t connection() const override { return m_connectionNumber; }
    void answer(const HttpResponse& response) override;
    void begin() override;
    bool write(absl::string_view piece) override;
    void end() override;
    void drop() override;

    // The part of the request that has been received. Used by the server's thread only.
    ServedRequest& request() { return m_request; }
    // Marks the request as passed to the handler. Returns false if it was already.
    bool markDispatched();

    // Sends the available data or suspends the connection. Called on the server's thread.
    MHD_Result proceed();
    // Copies up to `size` bytes of a streamed body into the buffer. Called by libmicrohttpd.
    ssize_t read(char* buffer, std::size_t size);
    // Records that libmicrohttpd has closed the exchange.
    void close();

private:
    enum class State {
        Waiting,
        Answered,
        Streaming,
        Ended,
        Dropped,
        Gone,
    };

    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void suspend() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    MHD_Result sendWhole() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    MHD_Result sendPieces() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    MHD_Connection* const m_connection;
    const std::uint64_t m_connectionNumber;
    ServedRequest m_request;
    bool m_isDispatched = false;
    absl::Mutex m_mutex;
    State m_state ABSL_GUARDED_BY(m_mutex) = State::Waiting;
    bool m_isSuspended ABSL_GUARDED_BY(m_mutex) = false;
    // A response has been passed to libmicrohttpd.
    bool m_isQueued ABSL_GUARDED_BY(m_mutex) = false;
    HttpResponse m_response ABSL_GUARDED_BY(m_mutex);
    // Data of a streamed body that libmicrohttpd has not read yet.
    std::string m_pending ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
