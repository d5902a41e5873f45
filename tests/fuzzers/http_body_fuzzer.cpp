// Fuzzes the routing of HTTP requests and the parsing of their bodies.
#include <cstdint>
#include <cstdlib>
#include <variant>

#include "absl/strings/str_split.h"
#include "adapters/api/route_func.h"
#include "adapters/json/answer_json_func.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/job_json_func.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"

namespace mangohall {
namespace {

// Makes an operator's request. The first line holds the method, the target and the entity tag, separated by spaces; the
// rest is the body.
ApiRequest makeRequest(absl::string_view text)
{
    const std::pair<absl::string_view, absl::string_view> lineAndBody = absl::StrSplit(text, absl::MaxSplits('\n', 1));
    const std::vector<std::string> fields = absl::StrSplit(lineAndBody.first, ' ');
    ApiRequest request;
    request.method = fields[0];
    request.target = fields.size() > 1 ? fields[1] : "/";
    request.headers = { { "Authorization", "Bearer op" } };
    if (fields.size() > 2)
        request.headers.push_back({ "If-Match", fields[2] });
    request.body = std::string(lineAndBody.second);
    return request;
}

// Aborts if the condition is false, which libFuzzer reports as a crash.
void require(bool condition)
{
    if (!condition)
        std::abort();
}

// Checks that a parsed specification is the same after it has been encoded and parsed again.
void checkRoundTrip(const CallerRequest& request)
{
    if (const auto* submit = std::get_if<SubmitRequest>(&request)) {
        const absl::StatusOr<JobSpec> again = jobSpecFromJson(toJson(submit->spec));
        require(again.ok() && *again == submit->spec);
    }
    if (const auto* put = std::get_if<PutRequest>(&request)) {
        const absl::StatusOr<ConfigSpec> again
            = configSpecFromJson(kindOf(put->spec), nameOf(put->spec), toJson(put->spec));
        require(again.ok() && toJson(*again) == toJson(put->spec));
    }
}

} // namespace
} // namespace mangohall

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace mangohall;
    static const ApiSettings settings;
    static const TokenTable tokens(std::vector<TokenEntry> { { "op", true, OrganisationName() } });
    const ApiRequest request = makeRequest(absl::string_view(reinterpret_cast<const char*>(data), size));
    const absl::StatusOr<Route> route = routeRequest(request, tokens, settings, "change-1");
    if (!route.ok()) {
        // Every error has one of the documented kinds and can be encoded.
        require(errorKindOf(route.status()) != ErrorKind::Internal);
        require(encodeError(route.status()).httpStatus >= 400);
        return 0;
    }
    if (const auto* node = std::get_if<NodeRoute>(&*route))
        checkRoundTrip(node->request);
    return 0;
}
