#pragma once

#include <memory>

#include "adapters/http/curl_http_client_base.h"
#include "adapters/observe/log_observer_base.h"
#include "adapters/observe/metrics_base.h"
#include "adapters/platform/etcd_store_base.h"
#include "adapters/platform/http_vm_list_base.h"
#include "adapters/platform_worker/http_worker_port_base.h"
#include "adapters/runtime/node_runtime_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "adapters/settings/settings_type.h"
#include "adapters/wire/store_codec_base.h"
#include "adapters/wire/thrift_peer_port_base.h"
#include "adapters/wire/thrift_peer_server_base.h"
#include "node/node_base.h"
#include "node/node_factory_func.h"
#include "programs/server/server_process_base.h"

namespace mangohall {

// Runs a node on its threads and connects it to the platform services, to workers and to its peers.
class NodeProcess : public ServerProcess {
public:
    // `caller` sends answers to callers. It is null in a node that serves no callers, and must outlive this object.
    NodeProcess(
        const Settings& settings, std::unique_ptr<Node> node, CallerPort* caller, const Clock& clock, Metrics& metrics);
    // Calls stop().
    ~NodeProcess() override;
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    // Fails if the peer server cannot start; the node's threads are not started then.
    absl::Status start() override;
    bool drain(absl::Duration timeout) override;
    void stop() override;

    // Accepts events for the node. Valid as long as this object.
    EventSink& events() { return m_runtime; }

private:
    // Registers the gauges of the node, the peer connections and the process.
    void addGauges();

    Metrics& m_metrics;
    LogObserver m_observer;
    const WireStoreCodec m_codec;
    const std::unique_ptr<Node> m_node;
    // stop() destroys the client before the runtime, because completed requests are queued in the runtime.
    std::unique_ptr<CurlHttpClient> m_http;
    EtcdStore m_store;
    HttpVmList m_vmList;
    HttpWorkerPort m_workers;
    ThriftPeerPort m_peers;
    NodeRuntime m_runtime;
    ThriftPeerServer m_peerServer;
};

// Extracts the node's own settings from the settings file of the program.
NodeSettings nodeSettingsOf(const Settings& settings);

} // namespace mangohall
