#include "adapters/json/config_json_func.h"

#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// Parses the text as the spec of a resource named "n".
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

TEST_P(ConfigJsonFault, IsReportedWithItsPath)
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

struct RoundTripCase {
    ConfigKind kind;
    absl::string_view text;

    friend std::ostream& operator<<(std::ostream& out, const RoundTripCase& roundTrip)
    {
        return out << configKindName(roundTrip.kind);
    }
};

class ConfigJsonRoundTrip : public testing::TestWithParam<RoundTripCase> { };

TEST_P(ConfigJsonRoundTrip, WritesTheSpecAsItWasRead)
{
    const auto [kind, text] = GetParam();
    const absl::StatusOr<ConfigSpec> spec = readSpec(kind, text);
    ASSERT_TRUE(spec.ok()) << spec.status();
    EXPECT_EQ(kindOf(*spec), kind);
    EXPECT_EQ(nameOf(*spec), "n");
    EXPECT_EQ(toJson(*spec), nlohmann::json::parse(text.begin(), text.end()));
    EXPECT_EQ(*configKindFromName(configKindName(kind)), kind);
}

INSTANTIATE_TEST_SUITE_P(Kinds, ConfigJsonRoundTrip,
    testing::Values(
        RoundTripCase { ConfigKind::Organisation, R"({"weight":3,"maxQueuedJobs":7,"maxAccelerators":64})" },
        RoundTripCase { ConfigKind::Guarantee,
            R"({"organisation":"o","shard":"s","cells":2,"acceleratorsPerCell":8,"adjacency":"sameRack"})" },
        RoundTripCase { ConfigKind::Service, R"({"slotsPerWorker":4,"connectionsPerWorker":32})" },
        RoundTripCase { ConfigKind::Drain, R"({"target":"rack","targetName":"r1"})" },
        RoundTripCase { ConfigKind::Policy, R"({"completionWeight":0.25,"checkpointGraceMs":750})" },
        RoundTripCase { ConfigKind::Shard,
            R"({"region":"r","dataCentre":"d","racks":["a","b"],"workersPerRack":4,"acceleratorsPerWorker":8})" }));

TEST(ConfigJson, ReportsThePositionOfASyntaxError)
{
    const absl::Status status = parseJson(R"({"a":})").status();
    EXPECT_EQ(errorKindOf(status), ErrorKind::MalformedBody);
    EXPECT_EQ(status.message(), "not JSON at byte 6");
    EXPECT_EQ(errorKindOf(parseJson("1e999").status()), ErrorKind::MalformedBody);
}

TEST(ConfigJson, RejectsAnUnknownKind)
{
    EXPECT_EQ(errorKindOf(configKindFromName("jobs").status()), ErrorKind::NotFound);
}

} // namespace
} // namespace mangohall
