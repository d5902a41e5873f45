#pragma once

#include <string>

#include "absl/time/time.h"
#include "adapters/http/http_client_port.h"
#include "core/time_const.h"
#include "ports/vm_list_port.h"

namespace mangohall {

// Reads the VM list of the platform over HTTP: GET /v1/vms?dataCentre=NAME.
class HttpVmList : public VmListPort {
public:
    // `url` is "http://host:port". The client must outlive this object and its requests.
    HttpVmList(HttpClient& http, std::string url, absl::Duration timeout = vmListPeriod);

    // Reads the VMs of a data centre, or all VMs if its name is empty. OutcomeUnknown if the response is incomplete or
    // cannot be parsed; the error of the HTTP client if there was no response.
    void read(const DataCentreName& dataCentre, Done done) override;

private:
    HttpClient& m_http;
    const std::string m_url;
    const absl::Duration m_timeout;
};

} // namespace mangohall
