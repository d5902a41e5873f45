// The platform's side of the messages: decodes the requests that nodes send and encodes the responses that they read.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "adapters/http/http_client_port.h"
#include "batch/store/record_type.h"
#include "batch/worker/worker_type.h"
#include "standins/http_server_base.h"

namespace mangohall::platform {

// Decodes a node's request to the store. MalformedBody if the path, a key or the body is not valid.
absl::StatusOr<batch::StoreRequest> storeRequestOf(const ServedRequest& request);
// Encodes the store's reply to the request.
HttpResponse storeResponseOf(const batch::StoreRequest& request, const batch::StoreReply& reply);
// Encodes a page of a collection: what comes after the key, at most about 500 items or 1 MB.
HttpResponse storePageOf(const batch::StoreReply& reply, const std::string& afterKey);

// Decodes a node's call to the named worker. MalformedBody if the body or the task's name is not valid.
absl::StatusOr<batch::WorkerCall> workerCallOf(const std::string& worker, const ServedRequest& request);
// Encodes a worker's reply; a refusal gives the HTTP status 409.
HttpResponse workerResponseOf(const batch::WorkerReply& reply);

} // namespace mangohall::platform
