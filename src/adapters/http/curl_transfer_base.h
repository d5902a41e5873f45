#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "adapters/http/curl_socket_registry_base.h"
#include "adapters/http/http_client_port.h"
#include "curl/curl.h"
#include "ports/clock_port.h"

namespace mangohall {

// One request that the HTTP library executes. After its construction it is used by the client's thread only.
class CurlTransfer {
public:
    // `piece` is empty unless the response is streamed. The clock must outlive the transfer.
    CurlTransfer(std::uint64_t id, const HttpRequest& request, HttpClient::Piece piece, HttpClient::Done done,
        const Clock& clock);
    ~CurlTransfer();
    CurlTransfer(const CurlTransfer&) = delete;
    CurlTransfer& operator=(const CurlTransfer&) = delete;

    std::uint64_t id() const { return m_id; }
    // The part "host:port" of the URL.
    const std::string& host() const { return m_host; }
    // Time at which the transfer times out.
    absl::Time deadline() const { return m_deadline; }
    // Records that the client's thread has taken the transfer over.
    void markAccepted() { m_acceptedAt = m_clock.now(); }
    // How long the client itself has delayed the transfer, if its thread has read what had arrived by `readUntil`.
    absl::Duration senderDelay(absl::Time readUntil) const
    {
        return (m_acceptedAt - m_createdAt) + std::max(m_deadline - readUntil, absl::ZeroDuration());
    }
    // Whether it is too late to send the request.
    bool isTooLateToSend() const { return m_clock.now() >= std::min(m_deadline, m_request.sendUntil); }
    // Socket of the transfer's connection; -1 until it is connected.
    int socket() const { return m_socket; }
    // Handle of the library; null before `prepare`.
    CURL* handle() const { return m_handle; }

    // Configures the handle for this request. The caller keeps ownership; handle and registry must outlive the
    // transfer.
    void prepare(CURL* handle, CurlSocketRegistry& sockets);

    // Passes the response, or the status if it is not OK, to the callback of the request. Must be called exactly once.
    void finish(const absl::Status& status);

    // Converts a result code of the library into a status: OwnerUnreachable or PeerGone if the connection failed,
    // OutcomeUnknown for other failures, among them a connection that was closed without a response.
    absl::Status statusOf(CURLcode code) const;

private:
    // Callbacks of the library.
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self);
    static curl_socket_t onOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int onCloseSocket(void* registry, curl_socket_t socket);
    static int onConnected(void* self, char* remoteIp, char* localIp, int remotePort, int localPort);

    void setRequest();
    void setCallbacks();
    // Whether the request changes nothing, so that it may be sent more than once.
    bool isSafe() const { return m_request.method == "GET"; }
    // Handles received body bytes; returns false to end the transfer.
    bool handleBody(absl::string_view data);
    // Handles one header line. A status line starts a new response and discards the headers received before it.
    void handleHeader(absl::string_view line);

    const std::uint64_t m_id;
    const HttpRequest m_request;
    const std::string m_host;
    const Clock& m_clock;
    HttpClient::Piece m_onBodyPart;
    HttpClient::Done m_onResponse;
    const absl::Time m_createdAt;
    absl::Time m_acceptedAt;
    absl::Time m_deadline;
    // Owned by the client.
    CURL* m_handle = nullptr;
    curl_slist* m_headers = nullptr;
    CurlSocketRegistry* m_sockets = nullptr;
    int m_socket = -1;
    // The socket that the library has opened last for this transfer; -1 if it has opened none. It may be closed again.
    int m_openedSocket = -1;
    // The callback of a stream has asked to close it.
    bool m_isClosedByReceiver = false;
    // The response exceeds its limit.
    bool m_isTooLarge = false;
    // The request may have been sent, possibly on a connection that has been closed since.
    bool m_mayHaveBeenSent = false;
    HttpResponse m_response;
};

} // namespace mangohall
