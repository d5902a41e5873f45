#include "adapters/api/job_route_func.h"

#include <algorithm>
#include <string>

#include "adapters/api/target_func.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

constexpr absl::string_view jobParameters[] = { "waitMs", "organisation" };
constexpr std::size_t jobSegmentCount = 3;

absl::StatusOr<OrganisationName> organisationOf(const ApiTarget& target, const Identity& identity)
{
    const absl::optional<std::string> named = findParameter(target, "organisation");
    if (identity.isOperator) {
        if (!named || named->empty())
            return makeError(ErrorKind::InvalidValue, "organisation: is required for operators");
        return OrganisationName(*named);
    }
    if (named && *named != identity.organisation.text())
        return makeError(ErrorKind::PermissionDenied, "the job belongs to another organisation");
    return identity.organisation;
}

// Returns the wait requested by `waitMs`, limited to the maximum of the settings; zero if there is none.
absl::StatusOr<absl::Duration> waitOf(const ApiTarget& target, const ApiSettings& settings)
{
    const absl::optional<std::string> text = findParameter(target, "waitMs");
    if (!text)
        return absl::ZeroDuration();
    const absl::StatusOr<std::int64_t> milliseconds = parseNumber("waitMs", *text);
    if (!milliseconds.ok())
        return milliseconds.status();
    return std::min(absl::Milliseconds(*milliseconds), settings.maxWait);
}

absl::StatusOr<JobKey> keyOf(const ApiTarget& target, const Identity& identity)
{
    if (target.segments.size() != jobSegmentCount)
        return makeError(ErrorKind::NotFound, "a job path must have the form /v1/jobs/REQUESTKEY");
    const std::string& requestKey = target.segments[2];
    absl::Status status = checkRequestKey(requestKey);
    if (!status.ok())
        return status;
    absl::StatusOr<OrganisationName> organisation = organisationOf(target, identity);
    if (!organisation.ok())
        return organisation.status();
    return JobKey { *std::move(organisation), requestKey };
}

absl::StatusOr<CallerRequest> routeSubmit(const ApiRequest& request, const JobKey& key, absl::Duration wait)
{
    const absl::StatusOr<nlohmann::json> body = parseJson(request.body);
    if (!body.ok())
        return body.status();
    absl::StatusOr<JobSpec> spec = jobSpecFromJson(*body);
    if (!spec.ok())
        return spec.status();
    return CallerRequest(SubmitRequest { key, *std::move(spec), wait });
}

} // namespace

absl::StatusOr<CallerRequest> routeJob(
    const ApiRequest& request, const ApiTarget& target, const Identity& identity, const ApiSettings& settings)
{
    absl::Status status = checkParameters(target, jobParameters);
    if (!status.ok())
        return status;
    const absl::StatusOr<JobKey> key = keyOf(target, identity);
    if (!key.ok())
        return key.status();
    const absl::StatusOr<absl::Duration> wait = waitOf(target, settings);
    if (!wait.ok())
        return wait.status();
    if (request.method == "PUT" || request.method == "POST")
        return routeSubmit(request, *key, *wait);
    if (request.method == "GET")
        return CallerRequest(QueryRequest { *key, *wait });
    if (request.method == "DELETE")
        return CallerRequest(CancelRequest { *key, *wait });
    return makeError(ErrorKind::InvalidValue, "method: must be PUT, POST, GET or DELETE");
}

} // namespace mangohall
