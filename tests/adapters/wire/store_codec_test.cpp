#include "adapters/wire/store_codec_base.h"

#include "adapters/wire/sample_message_func.h"
#include "configuration/configuration_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::string_view ledgerKey = "ledger/ct-a-0/7";

LedgerBucket sampleBucket()
{
    return { ShardName("ct-a-0"), 7, 42, { sampleRecord(), sampleRecord() } };
}

Member sampleMember()
{
    return { NodeName("n1"), NodeRole::Entry, "10.0.0.1:7000", RegionName("sic-east"), DataCentreName("ct-a"), true };
}

TEST(StoreCodec, ALedgerBucketComesBackAsItWas)
{
    const WireStoreCodec codec;
    const LedgerBucket bucket = sampleBucket();
    const absl::StatusOr<StoreValue> value = codec.decode(ledgerKey, codec.encode(bucket));
    ASSERT_TRUE(value.ok()) << value.status();
    const auto& back = std::get<LedgerBucket>(*value);
    EXPECT_EQ(back.shard, bucket.shard);
    EXPECT_EQ(back.bucket, bucket.bucket);
    EXPECT_EQ(back.epoch, bucket.epoch);
    EXPECT_EQ(back.jobs, bucket.jobs);
}

TEST(StoreCodec, OwnersAndMembersComeBackAsTheyWere)
{
    const WireStoreCodec codec;
    const OwnerRecord owner { ShardName("ct-a-0"), NodeName(""), 5 };
    EXPECT_EQ(std::get<OwnerRecord>(*codec.decode("cluster/owners/ct-a-0", codec.encode(owner))), owner);
    EXPECT_EQ(std::get<Member>(*codec.decode("cluster/members/n1", codec.encode(sampleMember()))), sampleMember());
}

TEST(StoreCodec, ConfigurationComesBackWithoutItsRevision)
{
    const WireStoreCodec codec;
    for (const ConfigObject& object : sampleConfigObjects()) {
        const std::string key = configKey(kindOf(object.spec), nameOf(object.spec));
        const std::string bytes = codec.encode(object);
        const absl::StatusOr<StoreValue> value = codec.decode(key, bytes);
        ASSERT_TRUE(value.ok()) << value.status();
        const auto& back = std::get<ConfigObject>(*value);
        EXPECT_EQ(back.spec.index(), object.spec.index());
        EXPECT_EQ(back.changeId, object.changeId);
        EXPECT_EQ(back.revision, 0);
        EXPECT_EQ(codec.encode(back), bytes);
    }
}

TEST(StoreCodec, RefusesConfigurationUnderAnotherKey)
{
    const WireStoreCodec codec;
    const std::string bytes = codec.encode(sampleConfigObjects().front());
    EXPECT_EQ(errorKindOf(codec.decode("config/organisations/other", bytes).status()), ErrorKind::MalformedBody);
}

TEST(StoreCodec, RefusesEveryTruncation)
{
    const WireStoreCodec codec;
    struct Sample {
        std::string key;
        std::string bytes;
    };
    const Sample samples[] = {
        { std::string(ledgerKey), codec.encode(sampleBucket()) },
        { "cluster/owners/ct-a-0", codec.encode(OwnerRecord { ShardName("ct-a-0"), NodeName("n1"), 5 }) },
        { "cluster/members/n1", codec.encode(sampleMember()) },
        { "config/organisations/zagara", codec.encode(sampleConfigObjects().front()) },
    };
    for (const Sample& sample : samples) {
        for (std::size_t length = 0; length < sample.bytes.size(); ++length) {
            const absl::string_view part = absl::string_view(sample.bytes).substr(0, length);
            EXPECT_EQ(errorKindOf(codec.decode(sample.key, part).status()), ErrorKind::MalformedBody) << length;
        }
    }
}

TEST(StoreCodec, SurvivesEveryChangedByte)
{
    const WireStoreCodec codec;
    const std::string bytes = codec.encode(sampleBucket());
    for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
        for (const int change : { 0x01, 0x08, 0x10, 0x7f, 0x80, 0xff }) {
            std::string broken = bytes;
            broken[offset] = static_cast<char>(broken[offset] ^ change);
            const ErrorKind kind = errorKindOf(codec.decode(ledgerKey, broken).status());
            EXPECT_TRUE(kind == ErrorKind::None || kind == ErrorKind::MalformedBody) << offset;
        }
    }
}

TEST(StoreCodec, RefusesBytesAfterTheEndAndUnknownKeys)
{
    const WireStoreCodec codec;
    EXPECT_EQ(
        errorKindOf(codec.decode(ledgerKey, codec.encode(sampleBucket()) + "x").status()), ErrorKind::MalformedBody);
    EXPECT_EQ(errorKindOf(codec.decode("elsewhere/x", "{}").status()), ErrorKind::MalformedBody);
    EXPECT_EQ(errorKindOf(codec.decode("cluster/members/n1", "[1]").status()), ErrorKind::MalformedBody);
    EXPECT_EQ(errorKindOf(codec.decode("cluster/members/n1", "\xff\xfe").status()), ErrorKind::MalformedBody);
}

} // namespace
} // namespace mangohall
