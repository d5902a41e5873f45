#include "batch/routing/route_table_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

Manifest makeManifest()
{
    Manifest manifest;
    QueueSpec outer;
    outer.name = QueueName("outer");
    outer.host = "a.example";
    outer.pathPrefix = "/jobs/";
    QueueSpec inner = outer;
    inner.name = QueueName("inner");
    inner.pathPrefix = "/jobs/fast/";
    manifest.queues = { outer, inner };
    manifest.organisations = { { OrganisationName("large"), { "k1", "k2" }, 16 } };
    return manifest;
}

TEST(RouteTable, MatchesTheLongestPrefixOfTheHost)
{
    const RouteTable table(makeManifest());
    EXPECT_EQ(table.match("a.example", "/jobs/fast/x")->name, QueueName("inner"));
    EXPECT_EQ(table.match("A.example:8080", "/jobs/x")->name, QueueName("outer"));
    EXPECT_EQ(table.match("b.example", "/jobs/x"), nullptr);
    EXPECT_EQ(table.match("a.example", "/other"), nullptr);
}

TEST(RouteTable, FindsTheOrganisationOfAnApiKey)
{
    const RouteTable table(makeManifest());
    EXPECT_EQ(table.organisationOf("k2"), OrganisationName("large"));
    EXPECT_FALSE(table.organisationOf("k3"));
    EXPECT_FALSE(table.organisationOf(""));
    EXPECT_EQ(table.guaranteedAccelerators(OrganisationName("large")), 16);
    EXPECT_EQ(table.guaranteedAccelerators(OrganisationName("none")), 0);
}

} // namespace
} // namespace mangohall::batch
