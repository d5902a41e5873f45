#include "adapters/platform/http_vm_list_base.h"

#include <cctype>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "adapters/platform/vm_list_json_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;

// Percent-encodes a query argument.
std::string escapeArgument(absl::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        const bool isPlain = std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
            || character == '_' || character == '.' || character == '~';
        if (isPlain)
            escaped.push_back(character);
        else
            absl::StrAppend(&escaped, "%", absl::BytesToHexString(absl::string_view(&character, 1)));
    }
    return escaped;
}

absl::StatusOr<std::vector<VmEntry>> readResponse(const absl::StatusOr<HttpResponse>& response)
{
    if (!response.ok())
        return response.status();
    if (response->status != httpOk)
        return makeError(ErrorKind::OutcomeUnknown, absl::StrCat("the VM list returned HTTP ", response->status));
    absl::StatusOr<std::vector<VmEntry>> vms = vmListFromJson(response->body);
    if (!vms.ok())
        return makeError(ErrorKind::OutcomeUnknown, absl::StrCat("the VM list: ", vms.status().message()));
    return vms;
}

} // namespace

HttpVmList::HttpVmList(HttpClient& http, std::string url, absl::Duration timeout)
    : m_http(http)
    , m_url(std::move(url))
    , m_timeout(timeout)
{
}

void HttpVmList::read(const DataCentreName& dataCentre, Done done)
{
    HttpRequest request;
    request.url = absl::StrCat(m_url, "/v1/vms");
    if (!dataCentre.empty())
        absl::StrAppend(&request.url, "?dataCentre=", escapeArgument(dataCentre.text()));
    request.timeout = m_timeout;
    m_http.send(request,
        [done = std::move(done)](const absl::StatusOr<HttpResponse>& response) { done(readResponse(response)); });
}

} // namespace mangohall
