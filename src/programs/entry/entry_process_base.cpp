#include "programs/entry/entry_process_base.h"

namespace mangohall {

namespace {

// Time to finish sending answers after the node has drained.
constexpr absl::Duration answerFlushTimeout = absl::Seconds(2);

// Name and description of the metric of a limit.
struct LimitGauge {
    ClientLimit limit;
    const char* name;
    const char* help;
};

constexpr LimitGauge limitGauges[] = {
    { ClientLimit::BodyTooLarge, "mangohall_api_bodies_too_large", "Request bodies over the size limit." },
    { ClientLimit::BodyRefused, "mangohall_api_bodies_refused", "Request bodies refused for lack of memory." },
    { ClientLimit::BodyAbandoned, "mangohall_api_bodies_abandoned", "Request bodies over the time limit." },
    { ClientLimit::BodyEvicted, "mangohall_api_bodies_evicted", "Request bodies dropped in favour of others." },
    { ClientLimit::ConnectionRefused, "mangohall_api_connections_refused",
        "Requests refused on connections over a limit." },
    { ClientLimit::ConnectionDisplaced, "mangohall_api_connections_displaced",
        "Connections without a complete request that were closed for others." },
};

// Lists the bearer tokens of operators and organisations.
std::vector<TokenEntry> tokenEntriesOf(const TokenSettings& tokens)
{
    std::vector<TokenEntry> entries;
    for (const std::string& token : tokens.operatorTokens)
        entries.push_back({ token, true, OrganisationName() });
    for (const OrganisationTokens& row : tokens.organisationTokens) {
        for (const std::string& token : row.tokens)
            entries.push_back({ token, false, row.organisation });
    }
    return entries;
}

} // namespace

EntryProcess::EntryProcess(const Settings& settings)
    : m_metrics(m_clock)
    , m_api(apiSettingsOf(settings), m_relay, m_metrics, m_clock)
    , m_process(settings, makeEntryNode(nodeSettingsOf(settings), settings.seed), &m_api, m_clock, m_metrics)
{
    m_relay.connect(&m_process.events());
}

absl::Status EntryProcess::start()
{
    addGauges();
    absl::Status status = m_process.start();
    if (status.ok())
        status = m_api.start();
    if (status.ok())
        m_api.setReady(true);
    return status;
}

void EntryProcess::addGauges()
{
    for (const LimitGauge& row : limitGauges) {
        m_metrics.addGauge(
            { row.name, row.help, [this, limit = row.limit] { return static_cast<double>(m_api.limitCount(limit)); } });
    }
    m_metrics.addGauge({ "mangohall_api_body_bytes", "Bytes that unfinished request bodies hold.",
        [this] { return static_cast<double>(m_api.heldBodyBytes()); } });
    m_metrics.addGauge({ "mangohall_api_connections", "Open connections of callers and operators.",
        [this] { return static_cast<double>(m_api.connectionCount()); } });
}

bool EntryProcess::drain(absl::Duration timeout)
{
    m_api.setReady(false);
    const bool isDrained = m_process.drain(timeout);
    m_api.stop(answerFlushTimeout);
    return isDrained;
}

void EntryProcess::stop()
{
    m_api.stop(absl::ZeroDuration());
    m_process.stop();
}

ApiSettings apiSettingsOf(const Settings& settings)
{
    ApiSettings api;
    api.address = settings.apiListen.ip;
    api.port = settings.apiListen.port;
    api.nodeName = settings.self.node.str();
    api.tokens = tokenEntriesOf(settings.tokens);
    api.maxBodyBytes = settings.limits.bodyBytes;
    api.maxHeaderBytes = settings.limits.headerBytes;
    if (settings.limits.memoryMb)
        api.memoryBytes = *settings.limits.memoryMb << 20U;
    api.maxConnections = settings.limits.connections;
    api.maxConnectionsPerClient = settings.limits.connectionsPerClient;
    api.maxWatches = settings.limits.watches;
    api.maxWait = settings.limits.waitCap;
    return api;
}

} // namespace mangohall
