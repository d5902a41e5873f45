#include "programs/server/node_process_base.h"

#include <utility>

#include "adapters/observe/process_usage_func.h"

namespace mangohall {

namespace {

CurlHttpClientOptions httpOptions()
{
    return {};
}

EtcdStoreOptions storeOptions(const Settings& settings)
{
    EtcdStoreOptions options;
    options.endpoints = settings.storeEndpoints;
    return options;
}

PeerServerSettings peerServerSettings(const Settings& settings)
{
    PeerServerSettings server;
    server.ip = settings.peerListen.ip;
    server.port = settings.peerListen.port;
    return server;
}

RuntimeSettings runtimeSettings(const Settings& settings)
{
    return { settings.self.node, settings.workerThreads };
}

} // namespace

NodeProcess::NodeProcess(
    const Settings& settings, std::unique_ptr<Node> node, CallerPort* caller, const Clock& clock, Metrics& metrics)
    : m_metrics(metrics)
    , m_observer(metrics)
    , m_node(std::move(node))
    , m_http(std::make_unique<CurlHttpClient>(clock, httpOptions()))
    , m_store(*m_http, m_codec, storeOptions(settings))
    , m_vmList(*m_http, settings.vmListEndpoint)
    , m_workers(*m_http)
    , m_peers(PeerPortSettings())
    , m_runtime(
          *m_node, clock, { m_store, m_vmList, m_workers, m_peers, m_observer, caller }, runtimeSettings(settings))
    , m_peerServer(peerServerSettings(settings), m_runtime)
{
}

NodeProcess::~NodeProcess()
{
    NodeProcess::stop();
}

absl::Status NodeProcess::start()
{
    addGauges();
    absl::Status status = m_peerServer.start();
    if (status.ok())
        m_runtime.start();
    return status;
}

bool NodeProcess::drain(absl::Duration timeout)
{
    m_runtime.drain();
    return m_runtime.waitUntilDrained(timeout);
}

void NodeProcess::stop()
{
    m_peerServer.stop();
    m_runtime.stop();
    m_peers.stop();
    m_http.reset();
}

void NodeProcess::addGauges()
{
    m_metrics.addGauge({ "mangohall_events", "Events that the node has handled.",
        [this] { return static_cast<double>(m_runtime.counters().events); } });
    m_metrics.addGauge({ "mangohall_effects", "Effects that the node has asked for.",
        [this] { return static_cast<double>(m_runtime.counters().effects); } });
    m_metrics.addGauge({ "mangohall_queued_events", "Events that wait for the node.",
        [this] { return static_cast<double>(m_runtime.counters().queuedEvents); } });
    m_metrics.addGauge({ "mangohall_peer_bytes", "Bytes of messages sent to peers.",
        [this] { return static_cast<double>(m_peers.counters().bytes); } });
    m_metrics.addGauge({ "mangohall_peer_messages", "Messages sent to peers.",
        [this] { return static_cast<double>(m_peers.counters().messages); } });
    m_metrics.addGauge({ "process_cpu_seconds", "Processor time of the process.", processorSeconds });
    m_metrics.addGauge({ "process_peak_memory_bytes", "Most memory resident at one time.", peakMemoryBytes });
}

NodeSettings nodeSettingsOf(const Settings& settings)
{
    NodeSettings node;
    node.self = settings.self;
    node.partCount = settings.partCount;
    node.maxWaitingCallers = settings.limits.waitingCallers;
    node.maxWatches = settings.limits.watches;
    return node;
}

} // namespace mangohall
