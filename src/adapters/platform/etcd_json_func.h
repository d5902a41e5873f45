// Parsing of the JSON responses of the etcd v3 gateway.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "adapters/http/http_client_port.h"
#include "adapters/platform/etcd_type.h"

namespace mangohall {

// Parses a response, or one message of a stream. StoreUnavailable if the text is not one, for example because a proxy
// responded in place of the gateway. An error response gives the status that corresponds to its gRPC code.
absl::StatusOr<EtcdResponse> etcdResponseFromJson(absl::string_view text);

// Converts the result of an HTTP request to the gateway. StoreUnavailable if there was no response or a server error.
absl::StatusOr<EtcdResponse> etcdResponseFromHttp(const absl::StatusOr<HttpResponse>& httpResponse);

// Converts an HTTP response whose status is not 200 to an error.
absl::Status etcdStatusFromHttp(int httpStatus, absl::string_view body);

} // namespace mangohall
