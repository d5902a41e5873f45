#include "adapters/wire/store_codec_base.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "adapters/wire/job_wire_func.h"
#include "adapters/wire/membership_json_func.h"
#include "adapters/wire/thrift_bytes_func.h"

namespace mangohall {

namespace {

constexpr absl::string_view ledgerPrefix = "ledger/";
constexpr absl::string_view ownerPrefix = "cluster/owners/";
constexpr absl::string_view memberPrefix = "cluster/members/";

std::string toText(const nlohmann::json& json)
{
    constexpr int noIndent = -1;
    return json.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Encodes each type of value.
class ValueEncoder {
public:
    std::string operator()(const std::monostate& /*absent*/) const { return {}; }
    std::string operator()(const LedgerBucket& bucket) const { return toCompactBytes(toWire(bucket)); }
    std::string operator()(const OwnerRecord& record) const { return toText(toJson(record)); }
    std::string operator()(const Member& member) const { return toText(toJson(member)); }
    std::string operator()(const ConfigObject& object) const
    {
        return toText({
            { "kind", std::string(configKindName(kindOf(object.spec))) },
            { "name", std::string(nameOf(object.spec)) },
            { "spec", toJson(object.spec) },
            { "changeId", object.changeId },
        });
    }
};

absl::StatusOr<StoreValue> decodeLedger(absl::string_view bytes)
{
    wire::LedgerBucket encoded;
    absl::Status status = fromCompactBytes(bytes, encoded);
    if (!status.ok())
        return status;
    WireFault fault;
    LedgerBucket bucket = fromWire(encoded, fault);
    status = fault.status();
    if (!status.ok())
        return status;
    return StoreValue(std::move(bucket));
}

absl::StatusOr<StoreValue> decodeConfig(absl::string_view key, const nlohmann::json& fields)
{
    std::string kindName;
    std::string name;
    ConfigObject object;
    ObjectReader reader(fields, "");
    reader.require("kind");
    reader.require("name");
    reader.require("spec");
    reader.read("kind", kindName);
    reader.read("name", name);
    reader.read("changeId", object.changeId);
    const nlohmann::json* const spec = reader.find("spec");
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    const absl::StatusOr<ConfigKind> kind = configKindFromName(kindName);
    if (!kind.ok())
        return kind.status();
    if (configKey(*kind, name) != key)
        return makeError(ErrorKind::MalformedBody, absl::StrCat("kind and name do not match the key ", key));
    absl::StatusOr<ConfigSpec> parsed = configSpecFromJson(*kind, name, *spec);
    if (!parsed.ok())
        return parsed.status();
    object.spec = *std::move(parsed);
    return StoreValue(std::move(object));
}

absl::StatusOr<StoreValue> decodeJson(absl::string_view key, absl::string_view bytes)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(bytes);
    if (!fields.ok())
        return fields.status();
    if (absl::StartsWith(key, ownerPrefix))
        return ownerRecordFromJson(*fields);
    if (absl::StartsWith(key, memberPrefix))
        return memberFromJson(*fields);
    if (absl::StartsWith(key, configPrefix()))
        return decodeConfig(key, *fields);
    return makeError(ErrorKind::MalformedBody, "the key has no known prefix");
}

} // namespace

std::string WireStoreCodec::encode(const StoreValue& value) const
{
    return std::visit(ValueEncoder(), value);
}

absl::StatusOr<StoreValue> WireStoreCodec::decode(absl::string_view key, absl::string_view bytes) const
{
    absl::StatusOr<StoreValue> value
        = absl::StartsWith(key, ledgerPrefix) ? decodeLedger(bytes) : decodeJson(key, bytes);
    if (value.ok())
        return value;
    return makeError(ErrorKind::MalformedBody, absl::StrCat(key, ": ", value.status().message()));
}

} // namespace mangohall
