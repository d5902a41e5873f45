#include "core/error_func.h"
#include "node/declaration_test_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// A directory with one shard of two racks with four workers each, eight accelerators per worker, and one organisation.
Directory smallDirectory()
{
    Directory directory;
    directory.organisations.emplace(OrganisationName("large"), Organisation { OrganisationName("large"), 1, 10, 0 });
    ShardSpec shard;
    shard.name = ShardName("hall");
    shard.region = RegionName("east");
    shard.dataCentre = DataCentreName("dc");
    shard.racks = { RackName("r0"), RackName("r1") };
    shard.workersPerRack = 4;
    directory.shards.push_back(shard);
    return directory;
}

Guarantee rackGuarantee(const char* name, int cells)
{
    return { GuaranteeName(name), OrganisationName("large"), ShardName("hall"), cells, 32, Adjacency::SameRack };
}

TEST(Declaration, AcceptsGuaranteesThatPack)
{
    EXPECT_TRUE(testDeclaration(rackGuarantee("a", 2), smallDirectory()).ok());
}

TEST(Declaration, RefusesGuaranteesThatCannotAllBePacked)
{
    Directory directory = smallDirectory();
    directory.guarantees.emplace(GuaranteeName("a"), rackGuarantee("a", 2));
    const absl::Status status = testDeclaration(rackGuarantee("b", 1), directory);
    EXPECT_EQ(errorKindOf(status), ErrorKind::GuaranteeDoesNotPack);
}

TEST(Declaration, CountsAChangedGuaranteeOnce)
{
    Directory directory = smallDirectory();
    directory.guarantees.emplace(GuaranteeName("a"), rackGuarantee("a", 1));
    EXPECT_TRUE(testDeclaration(rackGuarantee("a", 2), directory).ok());
}

TEST(Declaration, RefusesAShardThatIsTooSmallForItsGuarantees)
{
    Directory directory = smallDirectory();
    directory.guarantees.emplace(GuaranteeName("a"), rackGuarantee("a", 2));
    ShardSpec smaller = directory.shards[0];
    smaller.racks.pop_back();
    EXPECT_EQ(errorKindOf(testDeclaration(smaller, directory)), ErrorKind::GuaranteeDoesNotPack);
}

TEST(Declaration, RefusesAnUnknownOrganisation)
{
    Guarantee guarantee = rackGuarantee("a", 1);
    guarantee.organisation = OrganisationName("nobody");
    EXPECT_EQ(errorKindOf(testDeclaration(guarantee, smallDirectory())), ErrorKind::UnknownOrganisation);
}

TEST(Removal, RefusesToRemoveWhatAGuaranteeRefersTo)
{
    Directory directory = smallDirectory();
    directory.guarantees.emplace(GuaranteeName("a"), rackGuarantee("a", 1));
    EXPECT_FALSE(testRemoval(ConfigKind::Organisation, "large", directory).ok());
    EXPECT_FALSE(testRemoval(ConfigKind::Shard, "hall", directory).ok());
    EXPECT_TRUE(testRemoval(ConfigKind::Service, "desk", directory).ok());
}

} // namespace
} // namespace mangohall
