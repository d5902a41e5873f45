#pragma once

#include <cstddef>
#include <string>

#include <microhttpd.h>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "adapters/api/api_context_type.h"
#include "adapters/api/api_request_type.h"
#include "adapters/api/body_connection_port.h"
#include "adapters/api/call_connection_port.h"
#include "adapters/api/route_type.h"

namespace mangohall {

// One request and its response on a connection of the HTTP library. The library calls it from one thread at a time.
class HttpExchange : public CallConnection, public BodyConnection {
public:
    // The context must outlive the exchange.
    HttpExchange(ApiContext& context, absl::string_view target);
    // Notifies the node if it has not sent its last answer yet.
    ~HttpExchange() override;

    // Access handler of the library. It is called once for the request head, then for each part of the body, then with
    // `*size` 0 when the body is complete, and again each time the connection is resumed. MHD_NO closes the connection.
    MHD_Result onAccess(MHD_Connection* connection, absl::string_view method, const char* data, std::size_t* size);

    // Content reader of the library for a streamed response. Returns the number of bytes copied into the buffer, 0 if
    // the connection has been suspended, or a negative code of the library at the end of the stream.
    ssize_t onRead(char* buffer, std::size_t size);

    void suspend() override;
    void resume() override;
    void closeBodyConnection() override;

private:
    enum class Stage {
        // The request head has not been read yet.
        Head,
        // The request body is being received.
        Body,
        // The node has been called and has not answered.
        Waiting,
        // The response has been queued.
        Responding,
    };

    // Reads method and headers; refuses the request without reading its body if that is too long or not sent yet.
    MHD_Result handleHead(absl::string_view method);
    // Hands a part of the body to the unfinished bodies.
    MHD_Result handleBody(absl::string_view piece);
    // Routes the complete request: answers it here or calls the node.
    MHD_Result route();
    // Adds the call to the call table, suspends the connection and posts the request to the node.
    MHD_Result callNode(const NodeRoute& route);
    // Continues a resumed call with what the call table says.
    MHD_Result continueCall();
    // TooManyConnections or BodyTooLarge if the request exceeds a limit; NotFound, Unauthenticated or PermissionDenied
    // if its head decides that.
    absl::Status checkHead() const;
    // True if the head announces a body.
    bool hasBody() const;
    // Body size in bytes as declared by Content-Length; 0 if the header is missing or invalid.
    std::size_t declaredBodyBytes() const;
    MHD_Result respondPage(LocalPage page);
    MHD_Result respond(const EncodedAnswer& answer, const char* contentType);
    MHD_Result respondError(const absl::Status& status);
    // Responds 503: the request was not run because the byte budget for bodies is used up.
    MHD_Result respondBodyRefused();
    MHD_Result respondStream();
    MHD_Result queueResponse(int httpStatus, MHD_Response* response, const char* contentType);
    // Socket of the connection; -1 if the library does not know it.
    int socket() const;

    ApiContext& m_context;
    MHD_Connection* m_connection = nullptr;
    ApiRequest m_request;
    Stage m_stage = Stage::Head;
    // Error that the request is refused with. OK while the request is accepted.
    absl::Status m_refusal;
    // True if there was no room for the body; the rest of it, at most up to the size limit, is discarded.
    bool m_isBodyRefused = false;
    // The body among the unfinished ones; 0 if the request has no body or has been routed.
    BodyId m_body = 0;
    // Socket of the connection while it receives a body.
    int m_bodySocket = -1;
    // Caller id of the call to the node; 0 if the node has not been called.
    CallerId m_caller = 0;
};

} // namespace mangohall
