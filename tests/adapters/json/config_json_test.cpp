#include "adapters/json/config_json_func.h"

#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// Reads text as a spec named "n".
absl::StatusOr<ConfigSpec> readSpec(ConfigKind kind, absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(text);
    if (!fields.ok())
        return fields.status();
    return configSpecFromJson(kind, "n", *fields);
}

struct FaultCase {
    ConfigKind kind;
    absl::string_view text;
    ErrorKind error;
    absl::string_view path;

    friend std::ostream& operator<<(std::ostream& out, const FaultCase& fault) { return out << fault.path; }
};

class ConfigJsonFault : public testing::TestWithParam<FaultCase> { };

TEST_P(ConfigJsonFault, IsNamedWithItsPath)
{
    const FaultCase& fault = GetParam();
    const absl::StatusOr<ConfigSpec> spec = readSpec(fault.kind, fault.text);
    EXPECT_EQ(errorKindOf(spec.status()), fault.error) << spec.status();
    EXPECT_EQ(spec.status().message().substr(0, fault.path.size() + 1), std::string(fault.path) + ":");
}

INSTANTIATE_TEST_SUITE_P(Faults, ConfigJsonFault,
    testing::Values(FaultCase { ConfigKind::Organisation, R"({"wight":1})", ErrorKind::UnknownField, "spec.wight" },
        FaultCase { ConfigKind::Organisation, R"({"weight":"1"})", ErrorKind::InvalidValue, "spec.weight" },
        FaultCase { ConfigKind::Organisation, R"({"weight":1.5})", ErrorKind::InvalidValue, "spec.weight" },
        FaultCase { ConfigKind::Organisation, R"({"weight":99999999999})", ErrorKind::InvalidValue, "spec.weight" },
        FaultCase {
            ConfigKind::Organisation, R"({"weight":18446744073709551615})", ErrorKind::InvalidValue, "spec.weight" },
        FaultCase { ConfigKind::Organisation, R"([])", ErrorKind::InvalidValue, "spec" },
        FaultCase { ConfigKind::Guarantee, R"({"shard":"s"})", ErrorKind::InvalidValue, "spec.organisation" },
        FaultCase { ConfigKind::Guarantee, R"({"organisation":"o","shard":"s","cells":0})", ErrorKind::InvalidValue,
            "spec.cells" },
        FaultCase { ConfigKind::Guarantee, R"({"organisation":"o","shard":"s","adjacency":"near"})",
            ErrorKind::InvalidValue, "spec.adjacency" },
        FaultCase { ConfigKind::Drain, R"({"targetName":"w"})", ErrorKind::InvalidValue, "spec.target" },
        FaultCase {
            ConfigKind::Policy, R"({"checkpointGraceMs":-1})", ErrorKind::InvalidValue, "spec.checkpointGraceMs" },
        FaultCase { ConfigKind::Policy, R"({"checkpointGrace":1})", ErrorKind::UnknownField, "spec.checkpointGrace" },
        FaultCase { ConfigKind::Shard, R"({"region":"r","dataCentre":"d","racks":["a",1]})", ErrorKind::InvalidValue,
            "spec.racks[1]" }));

struct WholeCase {
    ConfigKind kind;
    absl::string_view text;

    friend std::ostream& operator<<(std::ostream& out, const WholeCase& whole)
    {
        return out << configKindName(whole.kind);
    }
};

class ConfigJsonWhole : public testing::TestWithParam<WholeCase> { };

TEST_P(ConfigJsonWhole, IsWrittenAsItWasRead)
{
    const auto [kind, text] = GetParam();
    const absl::StatusOr<ConfigSpec> spec = readSpec(kind, text);
    ASSERT_TRUE(spec.ok()) << spec.status();
    EXPECT_EQ(kindOf(*spec), kind);
    EXPECT_EQ(nameOf(*spec), "n");
    EXPECT_EQ(toJson(*spec), nlohmann::json::parse(text.begin(), text.end()));
    EXPECT_EQ(*configKindFromName(configKindName(kind)), kind);
}

INSTANTIATE_TEST_SUITE_P(Kinds, ConfigJsonWhole,
    testing::Values(WholeCase { ConfigKind::Organisation, R"({"weight":3,"maxQueuedJobs":7,"maxAccelerators":64})" },
        WholeCase { ConfigKind::Guarantee,
            R"({"organisation":"o","shard":"s","cells":2,"acceleratorsPerCell":8,"adjacency":"sameRack"})" },
        WholeCase { ConfigKind::Service, R"({"slotsPerWorker":4,"connectionsPerWorker":32})" },
        WholeCase { ConfigKind::Drain, R"({"target":"rack","targetName":"r1"})" },
        WholeCase { ConfigKind::Policy, R"({"completionWeight":0.25,"checkpointGraceMs":750})" },
        WholeCase { ConfigKind::Shard,
            R"({"region":"r","dataCentre":"d","racks":["a","b"],"workersPerRack":4,"acceleratorsPerWorker":8})" }));

TEST(ConfigJson, TellsWhereTextIsNotJson)
{
    const absl::Status status = parseJson(R"({"a":})").status();
    EXPECT_EQ(errorKindOf(status), ErrorKind::MalformedBody);
    EXPECT_EQ(status.message(), "not JSON at byte 6");
    EXPECT_EQ(errorKindOf(parseJson("1e999").status()), ErrorKind::MalformedBody);
}

TEST(ConfigJson, KnowsNoOtherKinds)
{
    EXPECT_EQ(errorKindOf(configKindFromName("jobs").status()), ErrorKind::NotFound);
}

} // namespace
} // namespace mangohall
