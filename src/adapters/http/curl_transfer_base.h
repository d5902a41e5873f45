#pragma once

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

// One request on its way through the HTTP library. Used by the client's thread only, once it is started.
class CurlTransfer {
public:
    // `piece` is empty for a response that is wanted whole.
    CurlTransfer(std::uint64_t id, const HttpRequest& request, HttpClient::Piece piece, HttpClient::Done done,
        const Clock& clock);
    ~CurlTransfer();
    CurlTransfer(const CurlTransfer&) = delete;
    CurlTransfer& operator=(const CurlTransfer&) = delete;

    std::uint64_t id() const { return m_id; }
    // "host:port" as in the URL.
    const std::string& host() const { return m_host; }
    // When the transfer is to be given up.
    absl::Time deadline() const { return m_deadline; }
    // -1 while the transfer has no connection.
    int socket() const { return m_socket; }
    CURL* handle() const { return m_handle; }

    // Fills the handle, which stays the caller's. Both have to outlive the transfer.
    void prepare(CURL* handle, CurlSocketRegistry& sockets);

    // Tells the result to whoever asked. Called once.
    void finish(const absl::Status& status);

    // What a result code of the library means.
    absl::Status statusOf(CURLcode code) const;

private:
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self);
    static curl_socket_t onOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int onCloseSocket(void* registry, curl_socket_t socket);
    static int onConnected(void* self, char* remoteIp, char* localIp, int remotePort, int localPort);

    void setRequest();
    void setCallbacks();
    bool takeBody(absl::string_view data);
    void takeHeader(absl::string_view line);

    const std::uint64_t m_id;
    const HttpRequest m_request;
    const std::string m_host;
    const Clock& m_clock;
    HttpClient::Piece m_piece;
    HttpClient::Done m_done;
    absl::Time m_deadline;
    CURL* m_handle = nullptr;
    curl_slist* m_headers = nullptr;
    CurlSocketRegistry* m_sockets = nullptr;
    int m_socket = -1;
    bool m_isClosedByTaker = false;
    // The request may have been sent, also over a connection that has ended since.
    bool m_mayBeSent = false;
    HttpResponse m_response;
};

} // namespace mangohall
