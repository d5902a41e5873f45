// Routing of requests, without sockets.
#include "adapters/api/route_func.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view jobBody = R"({"service":"regdesk","shape":{"tasks":2,"acceleratorsPerTask":4}})";
constexpr absl::string_view organisationBody = R"({"spec":{"weight":3}})";

class RouteTest : public testing::Test {
protected:
    RouteTest()
    {
        m_settings.tokens = {
            { "op", true, OrganisationName() },
            { "za", false, OrganisationName("zagara") },
        };
        m_settings.maxWait = absl::Seconds(30);
    }

    absl::StatusOr<Route> route(const ApiRequest& request) const
    {
        return routeRequest(request, TokenTable(m_settings.tokens), m_settings, "generated-1");
    }

    absl::StatusOr<Route> route(absl::string_view method, absl::string_view target, absl::string_view token,
        absl::string_view body = "", std::vector<ApiHeader> headers = {}) const
    {
        if (!token.empty())
            headers.push_back({ "authorization", "Bearer " + std::string(token) });
        return route({ std::string(method), std::string(target), headers, std::string(body) });
    }

    template <typename Request> Request requestOf(const absl::StatusOr<Route>& route) const
    {
        EXPECT_TRUE(route.ok()) << route.status();
        if (!route.ok() || !std::holds_alternative<NodeRoute>(*route))
            return {};
        const auto* request = std::get_if<Request>(&std::get<NodeRoute>(*route).request);
        EXPECT_NE(request, nullptr);
        return request == nullptr ? Request {} : *request;
    }

    ErrorKind kindOf(absl::string_view method, absl::string_view target, absl::string_view token,
        absl::string_view body = "", std::vector<ApiHeader> headers = {}) const
    {
        return errorKindOf(route(method, target, token, body, std::move(headers)).status());
    }

    ApiSettings m_settings;
};

TEST_F(RouteTest, SubmitsForTheOrganisationOfTheToken)
{
    const auto request = requestOf<SubmitRequest>(route("PUT", "/v1/jobs/k1?waitMs=500", "za", jobBody));
    EXPECT_EQ(request.key, (JobKey { OrganisationName("zagara"), "k1" }));
    EXPECT_EQ(request.spec.shape.tasks, 2);
    EXPECT_EQ(request.wait, absl::Milliseconds(500));
    EXPECT_EQ(requestOf<SubmitRequest>(route("POST", "/v1/jobs/k1", "za", jobBody)).wait, absl::ZeroDuration());
}

TEST_F(RouteTest, CapsTheWait)
{
    EXPECT_EQ(requestOf<QueryRequest>(route("GET", "/v1/jobs/k1?waitMs=999999999", "za")).wait, absl::Seconds(30));
    EXPECT_EQ(kindOf("GET", "/v1/jobs/k1?waitMs=-1", "za"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1/jobs/k1?waitMs=99999999999999999999", "za"), ErrorKind::InvalidValue);
}

TEST_F(RouteTest, KeepsOrganisationsApart)
{
    EXPECT_EQ(kindOf("GET", "/v1/jobs/k1?organisation=caroni", "za"), ErrorKind::PermissionDenied);
    EXPECT_EQ(kindOf("DELETE", "/v1/jobs/k1?organisation=caroni", "za"), ErrorKind::PermissionDenied);
    EXPECT_EQ(kindOf("PUT", "/v1/jobs/k1?organisation=caroni", "za", jobBody), ErrorKind::PermissionDenied);
    EXPECT_TRUE(route("GET", "/v1/jobs/k1?organisation=zagara", "za").ok());
    EXPECT_EQ(kindOf("DELETE", "/v1/jobs/k1", "op"), ErrorKind::InvalidValue);
    const auto cancel = requestOf<CancelRequest>(route("DELETE", "/v1/jobs/k1?organisation=caroni", "op"));
    EXPECT_EQ(cancel.key.organisation, OrganisationName("caroni"));
}

TEST_F(RouteTest, RefusesOperatorRoutesToCallers)
{
    for (const absl::string_view target : { "/v1/organisations", "/v1/organisations/caroni", "/v1/shards", "/v1/nodes",
             "/v1/workers", "/v1/drains?watch=0", "/v1/reports/burn", "/reports/burn", "/metrics" }) {
        EXPECT_EQ(kindOf("GET", target, "za"), ErrorKind::PermissionDenied) << target;
        EXPECT_EQ(kindOf("GET", target, ""), ErrorKind::Unauthenticated) << target;
        EXPECT_EQ(kindOf("GET", target, "wrong"), ErrorKind::Unauthenticated) << target;
        EXPECT_TRUE(route("GET", target, "op").ok()) << target;
    }
    EXPECT_EQ(kindOf("PUT", "/v1/organisations/zagara", "za", organisationBody), ErrorKind::PermissionDenied);
    EXPECT_TRUE(route("GET", "/healthz", "").ok());
    EXPECT_TRUE(route("GET", "/readyz", "").ok());
}

TEST_F(RouteTest, PutsWithRevisionAndChangeId)
{
    const absl::string_view target = "/v1/organisations/zagara";
    auto put = requestOf<PutRequest>(route("PUT", target, "op", organisationBody));
    EXPECT_EQ(std::get<Organisation>(put.spec).weight, 3);
    EXPECT_EQ(put.expectedRevision, absl::nullopt);
    EXPECT_EQ(put.changeId, "generated-1");
    put = requestOf<PutRequest>(
        route("PUT", target, "op", organisationBody, { { "If-Match", "\"17\"" }, { "X-Change-Id", "mine" } }));
    EXPECT_EQ(put.expectedRevision, 17);
    EXPECT_EQ(put.changeId, "mine");
    put = requestOf<PutRequest>(route("PUT", target, "op", organisationBody, { { "if-none-match", "*" } }));
    EXPECT_EQ(put.expectedRevision, 0);
    EXPECT_EQ(requestOf<DeleteRequest>(route("DELETE", target, "op", "", { { "If-Match", "4" } })).expectedRevision, 4);
    for (const absl::string_view tag : { "x", "\"17", "", "-1", "*" })
        EXPECT_EQ(kindOf("PUT", target, "op", organisationBody, { { "If-Match", std::string(tag) } }),
            ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("PUT", target, "op", organisationBody, { { "X-Change-Id", "a b" } }), ErrorKind::InvalidValue);
}

TEST_F(RouteTest, RefusesBrokenBodies)
{
    const absl::string_view target = "/v1/organisations/zagara";
    EXPECT_EQ(kindOf("PUT", target, "op", "{"), ErrorKind::MalformedBody);
    EXPECT_EQ(kindOf("PUT", target, "op", ""), ErrorKind::MalformedBody);
    EXPECT_EQ(kindOf("PUT", target, "op", "{}"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("PUT", target, "op", R"({"spec":{"colour":1}})"), ErrorKind::UnknownField);
    EXPECT_EQ(kindOf("PUT", target, "op", R"({"spec":{},"extra":1})"), ErrorKind::UnknownField);
    EXPECT_EQ(kindOf("PUT", target, "op", R"({"name":"caroni","spec":{}})"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("PUT", "/v1/jobs/k1", "za", "nonsense"), ErrorKind::MalformedBody);
    EXPECT_EQ(kindOf("PUT", "/v1/jobs/k1", "za", R"({"service":"a","x":1})"), ErrorKind::UnknownField);
}

TEST_F(RouteTest, RefusesBrokenTargets)
{
    EXPECT_EQ(kindOf("GET", "/", "op"), ErrorKind::NotFound);
    EXPECT_EQ(kindOf("GET", "/v1/apples", "op"), ErrorKind::NotFound);
    EXPECT_EQ(kindOf("GET", "/v1/jobs", "za"), ErrorKind::NotFound);
    EXPECT_EQ(kindOf("GET", "/v1/organisations/a/b", "op"), ErrorKind::NotFound);
    EXPECT_EQ(kindOf("GET", "v1", "op"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1//a", "op"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1/jobs/%zz", "za"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1/jobs/a%2fb", "za"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1/jobs/a?wait=1", "za"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("GET", "/v1/jobs/a?waitMs=1&waitMs=2", "za"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("PATCH", "/v1/organisations/zagara", "op"), ErrorKind::InvalidValue);
    EXPECT_EQ(kindOf("DELETE", "/v1/organisations", "op"), ErrorKind::InvalidValue);
}

TEST_F(RouteTest, TellsViewsDeclarationsAndWatchesOfShardsApart)
{
    EXPECT_EQ(requestOf<ViewRequest>(route("GET", "/v1/shards", "op")).kind, ViewKind::Shards);
    EXPECT_EQ(requestOf<ReadRequest>(route("GET", "/v1/shards?declared=true", "op")).kind, ConfigKind::Shard);
    EXPECT_EQ(requestOf<ReadRequest>(route("GET", "/v1/shards/ct-a-1", "op")).name, "ct-a-1");
    EXPECT_EQ(requestOf<WatchRequest>(route("GET", "/v1/shards?watch=42", "op")).afterRevision, 42);
}

} // namespace
} // namespace mangohall
