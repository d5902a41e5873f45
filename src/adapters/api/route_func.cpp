#include "adapters/api/route_func.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "adapters/api/config_route_func.h"
#include "adapters/api/job_route_func.h"
#include "adapters/api/target_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Path of a page that the front end serves itself.
struct PageRoute {
    absl::string_view path;
    LocalPage page;
};

constexpr PageRoute pages[] = {
    { "healthz", LocalPage::Health },
    { "readyz", LocalPage::Readiness },
    { "metrics", LocalPage::Metrics },
    { "reports/burn", LocalPage::BurnPage },
    { "v1/reports/burn", LocalPage::BurnReport },
};

// Path of a view that the node serves.
struct ViewRoute {
    absl::string_view path;
    ViewKind kind;
};

constexpr ViewRoute views[] = {
    { "v1/workers", ViewKind::Workers },
    { "v1/shards", ViewKind::Shards },
    { "v1/nodes", ViewKind::Nodes },
    { "v1/reports/fragmentation", ViewKind::Fragmentation },
};

std::string pathOf(const ApiTarget& target)
{
    std::string path;
    for (const std::string& segment : target.segments)
        absl::StrAppend(&path, path.empty() ? "" : "/", segment);
    return path;
}

bool isTokenRequired(LocalPage page, const ApiSettings& settings)
{
    if (page == LocalPage::Health || page == LocalPage::Readiness)
        return false;
    return page != LocalPage::Metrics || settings.isMetricsTokenRequired;
}

absl::StatusOr<Identity> identify(const ApiRequest& request, const TokenTable& tokens)
{
    return tokens.identify(findHeader(request.headers, "Authorization").value_or(""));
}

absl::StatusOr<Identity> identifyOperator(const ApiRequest& request, const TokenTable& tokens)
{
    absl::StatusOr<Identity> identity = identify(request, tokens);
    if (identity.ok() && !identity->isOperator)
        return makeError(ErrorKind::PermissionDenied, "an operator token is required");
    return identity;
}

absl::StatusOr<Route> routePage(const ApiRequest& request, const TokenTable& tokens, const ApiSettings& settings,
    const ApiTarget& target, LocalPage page)
{
    if (request.method != "GET")
        return makeError(ErrorKind::InvalidValue, "method: must be GET");
    absl::Status status = checkParameters(target, {});
    if (status.ok() && isTokenRequired(page, settings))
        status = identifyOperator(request, tokens).status();
    if (!status.ok())
        return status;
    return Route(page);
}

absl::StatusOr<Route> routeView(
    const ApiRequest& request, const TokenTable& tokens, const ApiTarget& target, ViewKind kind)
{
    const absl::StatusOr<Identity> identity = identifyOperator(request, tokens);
    if (!identity.ok())
        return identity.status();
    if (request.method != "GET")
        return makeError(ErrorKind::InvalidValue, "method: must be GET");
    if (const absl::Status status = checkParameters(target, {}); !status.ok())
        return status;
    return Route(NodeRoute { *identity, ViewRequest { kind } });
}

absl::StatusOr<Route> toRoute(const Identity& identity, absl::StatusOr<CallerRequest> request)
{
    if (!request.ok())
        return request.status();
    return Route(NodeRoute { identity, *std::move(request) });
}

absl::StatusOr<Route> routeResource(const ApiRequest& request, const TokenTable& tokens, const ApiSettings& settings,
    const ApiTarget& target, absl::string_view changeId)
{
    if (target.segments[1] == "jobs") {
        const absl::StatusOr<Identity> identity = identify(request, tokens);
        if (!identity.ok())
            return identity.status();
        return toRoute(*identity, routeJob(request, target, *identity, settings));
    }
    const absl::StatusOr<Identity> identity = identifyOperator(request, tokens);
    if (!identity.ok())
        return identity.status();
    return toRoute(*identity, routeConfig(request, target, changeId));
}

} // namespace

absl::StatusOr<Route> routeRequest(
    const ApiRequest& request, const TokenTable& tokens, const ApiSettings& settings, absl::string_view changeId)
{
    const absl::StatusOr<ApiTarget> target = parseTarget(request.target);
    if (!target.ok())
        return target.status();
    const std::string path = pathOf(*target);
    for (const PageRoute& row : pages) {
        if (row.path == path)
            return routePage(request, tokens, settings, *target, row.page);
    }
    // v1/shards is both a view and a kind of declaration; these parameters select the declarations.
    const bool isDeclaration = findParameter(*target, "declared") || findParameter(*target, "watch");
    for (const ViewRoute& row : views) {
        if (row.path == path && !isDeclaration)
            return routeView(request, tokens, *target, row.kind);
    }
    if (target->segments.size() < 2 || target->segments[0] != "v1")
        return makeError(ErrorKind::NotFound, "there is no such path");
    return routeResource(request, tokens, settings, *target, changeId);
}

absl::Status checkRouteOfHead(const ApiRequest& head, const TokenTable& tokens, const ApiSettings& settings)
{
    // These kinds of error do not depend on the body, which is empty here; other kinds may.
    const absl::Status status = routeRequest(head, tokens, settings, "").status();
    const ErrorKind kind = errorKindOf(status);
    const bool isDecided
        = kind == ErrorKind::NotFound || kind == ErrorKind::Unauthenticated || kind == ErrorKind::PermissionDenied;
    return isDecided ? status : absl::OkStatus();
}

} // namespace mangohall
