// The platform's side of its messages: what nodes read is written here, and the other way round.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "adapters/http/http_client_port.h"
#include "batch/fleet/worker_type.h"
#include "batch/store/record_type.h"
#include "standins/http_server_base.h"

namespace mangohall::platform {

// What a node asks of the store; MalformedBody if it is nothing of the platform's.
absl::StatusOr<batch::StoreRequest> storeRequestOf(const ServedRequest& request);
HttpResponse storeResponseOf(const batch::StoreRequest& request, const batch::StoreReply& reply);

// What a node tells a worker.
absl::StatusOr<batch::WorkerCall> workerCallOf(const std::string& worker, const ServedRequest& request);
HttpResponse workerResponseOf(const batch::WorkerReply& reply);

} // namespace mangohall::platform
