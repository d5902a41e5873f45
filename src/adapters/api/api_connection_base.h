#pragma once

#include <string>

#include <microhttpd.h>

#include "absl/strings/string_view.h"
#include "core/connection_table_base.h"

namespace mangohall {

struct ApiContext;

// A client's connection, from its beginning to its end, which lasts over several requests. The HTTP library keeps it as
// the context of the connection.
class ApiConnection : private ConnectionSocket {
public:
    // `client` is the IPv4 address of the client; empty if it is unknown. The context has to outlive the connection.
    ApiConnection(ApiContext& context, MHD_Connection* connection, absl::string_view client);
    ~ApiConnection() override;
    ApiConnection(const ApiConnection&) = delete;
    ApiConnection& operator=(const ApiConnection&) = delete;

    // The object that belongs to the library's connection; null if there is none.
    static ApiConnection* of(MHD_Connection* connection);

    // False if the connection exceeds a limit; its requests are refused.
    bool isWithinLimits() const { return m_isWithinLimits; }
    // Record that data of a request has arrived, that the request is complete, and that its response was queued.
    void recordData();
    void recordRequest();
    void recordResponse();

private:
    void shutDown() override;

    ApiContext& m_context;
    const std::string m_client;
    const int m_socket;
    // The number of the connection in the table.
    const ConnectionId m_id;
    bool m_isWithinLimits = true;
};

} // namespace mangohall
