#pragma once

#include "adapters/api/api_server_base.h"
#include "adapters/observe/metrics_base.h"
#include "adapters/runtime/event_relay_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "adapters/settings/settings_type.h"
#include "programs/server/node_process_base.h"
#include "programs/server/server_process_base.h"

namespace mangohall {

// An entry process: a node process with an HTTP front end.
class EntryProcess : public ServerProcess {
public:
    explicit EntryProcess(const Settings& settings);

    // Fails if the node process or the HTTP server cannot start.
    absl::Status start() override;
    // Reports the entry as not ready, drains the node, which still answers waiting callers, and then closes the HTTP
    // server. Returns false if the node had not drained within the timeout.
    bool drain(absl::Duration timeout) override;
    void stop() override;

private:
    // Adds the counters of the HTTP server to the metrics.
    void addGauges();

    const SystemClock m_clock;
    Metrics m_metrics;
    // Forwards events of the HTTP server to the node, which is created after it.
    EventRelay m_relay;
    ApiServer m_api;
    NodeProcess m_process;
};

// Extracts the settings of the HTTP front end from the settings file of the program.
ApiSettings apiSettingsOf(const Settings& settings);

} // namespace mangohall
