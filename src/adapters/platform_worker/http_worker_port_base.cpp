#include "adapters/platform_worker/http_worker_port_base.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/platform_worker/worker_json_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr int httpOk = 200;

std::string toText(const nlohmann::json& json)
{
    constexpr int noIndent = -1;
    return json.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::Status malformedReport(absl::string_view reason)
{
    return makeError(ErrorKind::MalformedBody, absl::StrCat("worker's report: ", reason));
}

// Parses the report in a response. A report of another worker, which may now use the same address, is rejected.
absl::StatusOr<WorkerReport> readReport(const WorkerName& worker, const HttpResponse& response)
{
    if (response.status != httpOk)
        return makeError(ErrorKind::Internal, absl::StrCat("worker answered HTTP ", response.status));
    const absl::StatusOr<nlohmann::json> fields = parseJson(response.body);
    if (!fields.ok())
        return malformedReport(fields.status().message());
    absl::StatusOr<WorkerReport> report = workerReportFromJson(*fields);
    if (!report.ok())
        return malformedReport(report.status().message());
    if (report->worker != worker)
        return malformedReport(absl::StrCat("sent by ", report->worker.text(), " instead of ", worker.text()));
    return report;
}

} // namespace

HttpWorkerPort::HttpWorkerPort(HttpClient& client, absl::Duration timeout)
    : m_client(client)
    , m_timeout(timeout)
{
}

void HttpWorkerPort::call(const WorkerName& worker, absl::string_view address, const WorkerCall& request, Done done)
{
    HttpRequest post;
    post.method = "POST";
    post.url = absl::StrCat("http://", address, "/v1/calls");
    post.headers.push_back({ "Content-Type", "application/json" });
    post.body = toText(toJson(request));
    post.timeout = m_timeout;
    m_client.send(post, [worker, done = std::move(done)](const absl::StatusOr<HttpResponse>& response) {
        if (!response.ok()) {
            done(response.status());
            return;
        }
        done(readReport(worker, *response));
    });
}

} // namespace mangohall
