#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "adapters/http/http_client_port.h"
#include "core/time_const.h"
#include "ports/store_codec_port.h"
#include "ports/store_port.h"

namespace mangohall {

struct EtcdStoreOptions {
    // "http://ip:port" of each endpoint; at least one.
    std::vector<std::string> endpoints;
    absl::Duration callTimeout = storeCallTimeout;
    // A watch that receives no byte for this time is reopened, because its connection may be dead.
    absl::Duration watchIdleTimeout = absl::Seconds(5);
};

struct EtcdContext;

// Accesses etcd v3 over its JSON gateway. A failed call is reported and never sent twice; the caller decides when to
// retry. The call after a failure goes to the next endpoint.
class EtcdStore : public StorePort {
public:
    // Client and codec must outlive every request.
    EtcdStore(HttpClient& http, const StoreCodec& codec, EtcdStoreOptions options);
    ~EtcdStore() override;

    void start(const StoreRequest& request, Done done) override;

private:
    // Shared with open requests, so that they may outlive the store.
    const std::shared_ptr<EtcdContext> m_context;
};

} // namespace mangohall
