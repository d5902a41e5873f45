#pragma once

#include "adapters/api/limit_counts_base.h"
#include "adapters/api/limit_listener_port.h"
#include "core/connection_table_base.h"

namespace mangohall {

// Counts the uses of limits and logs the ones that LimitCounts selects.
class LimitLogger : public LimitListener, public ConnectionObserver {
public:
    // The clock has to outlive the logger.
    explicit LimitLogger(const Clock& clock);

    void onLimit(ClientLimit limit) override;
    void onConnectionDisplaced(std::uint64_t total) override;
    std::uint64_t count(ClientLimit limit) const { return m_counts.count(limit); }

private:
    LimitCounts m_counts;
};

} // namespace mangohall
