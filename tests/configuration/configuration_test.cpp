#include "configuration/configuration_func.h"

#include <limits>

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

Guarantee makeGuarantee()
{
    Guarantee guarantee;
    guarantee.name = GuaranteeName("rebuild");
    guarantee.organisation = OrganisationName("zagara");
    guarantee.shard = ShardName("ct-a-0");
    return guarantee;
}

TEST(Configuration, KeysConsistOfKindAndName)
{
    EXPECT_EQ(configKey(ConfigKind::Organisation, "zagara"), "config/organisations/zagara");
    EXPECT_EQ(kindOf(ConfigSpec(Policy())), ConfigKind::Policy);
    EXPECT_EQ(nameOf(ConfigSpec(makeGuarantee())), "rebuild");
}

TEST(Configuration, AcceptsAGuaranteeWithinItsRanges)
{
    EXPECT_TRUE(checkConfigSpec(makeGuarantee()).ok());
}

TEST(Configuration, NamesTheFieldOutOfRange)
{
    Guarantee guarantee = makeGuarantee();
    guarantee.cells = 0;
    const absl::Status status = checkConfigSpec(guarantee);
    EXPECT_EQ(errorKindOf(status), ErrorKind::InvalidValue);
    EXPECT_EQ(status.message().substr(0, 11), "spec.cells:");
}

TEST(Configuration, RefusesNamesThatAreInvalidInKeys)
{
    Organisation organisation;
    for (const absl::string_view name : { "", "a/b", "..", "a b" }) {
        organisation.name = OrganisationName(name);
        EXPECT_EQ(checkConfigSpec(organisation).message().substr(0, 5), "name:") << name;
    }
}

TEST(Configuration, RefusesAWeightThatIsNotANumber)
{
    Policy policy;
    policy.name = "default";
    policy.completionWeight = std::numeric_limits<double>::quiet_NaN();
    EXPECT_EQ(errorKindOf(checkConfigSpec(policy)), ErrorKind::InvalidValue);
}

TEST(Configuration, RefusesARackNamedTwice)
{
    ShardSpec shard;
    shard.name = ShardName("s");
    shard.region = RegionName("r");
    shard.dataCentre = DataCentreName("d");
    shard.racks = { RackName("r1"), RackName("r1") };
    EXPECT_EQ(checkConfigSpec(shard).message(), "spec.racks[1]: stands twice");
}

} // namespace
} // namespace mangohall
