#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "ports/clock_port.h"
#include "standins/fault_switches_base.h"
#include "standins/http_server_base.h"
#include "standins/vm_list_state_base.h"

namespace mangohall {

// Serves GET /v1/vms?dataCentre=NAME with the VMs as they were before the lag that is switched on. POST /admin/vms/NAME
// changes isLeaving, isGone and address of a VM.
class VmListService : public RequestHandler {
public:
    // The clock and the switches must outlive the service.
    VmListService(const Clock& clock, const FaultSwitches& switches, absl::Span<const VmEntry> vms);

    void handle(const ServedRequest& request, std::shared_ptr<Exchange> exchange) override;

private:
    HttpResponse list(const ServedRequest& request);
    HttpResponse change(const ServedRequest& request);

    const Clock& m_clock;
    const FaultSwitches& m_switches;
    absl::Mutex m_mutex;
    VmListState m_state ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
