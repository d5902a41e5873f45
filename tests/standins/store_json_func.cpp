#include "standins/store_json_func.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "standins/faulty_handler_base.h"

namespace mangohall {

namespace {

using Json = nlohmann::json;

constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;
constexpr int grpcOutOfRange = 11;

absl::Status malformed(absl::string_view what)
{
    return makeError(ErrorKind::InvalidValue, what);
}

Json fieldOf(const Json& object, const char* name)
{
    const auto field = object.find(name);
    return field == object.end() ? Json() : *field;
}

bool readBytes(const Json& object, const char* name, std::string& bytes)
{
    const Json field = fieldOf(object, name);
    bytes.clear();
    if (field.is_null())
        return true;
    return field.is_string() && absl::Base64Unescape(field.get_ref<const std::string&>(), &bytes);
}

Json keyToJson(const StoredKey& stored)
{
    Json object = {
        { "key", absl::Base64Escape(stored.key) },
        { "mod_revision", absl::StrCat(stored.modRevision) },
    };
    // The gateway leaves out fields that have their default value.
    if (stored.version != 0) {
        object["create_revision"] = absl::StrCat(stored.createRevision);
        object["version"] = absl::StrCat(stored.version);
    }
    if (!stored.value.empty())
        object["value"] = absl::Base64Escape(stored.value);
    if (stored.lease != 0)
        object["lease"] = absl::StrCat(stored.lease);
    return object;
}

// Returns the only item of a list. InvalidValue if there is not exactly one.
absl::StatusOr<Json> onlyItem(const Json& object, const char* name)
{
    const Json list = fieldOf(object, name);
    if (!list.is_array() || list.size() != 1)
        return malformed(absl::StrCat(name, ": exactly one is supported"));
    return list.front();
}

absl::Status readComparison(const Json& object, StoreTransaction& transaction)
{
    const absl::StatusOr<Json> comparison = onlyItem(object, "compare");
    if (!comparison.ok())
        return comparison.status();
    if (fieldOf(*comparison, "target") != "MOD" || fieldOf(*comparison, "result") != "EQUAL")
        return malformed("compare: only an equal mod revision is supported");
    if (!readBytes(*comparison, "key", transaction.key) || transaction.key.empty())
        return malformed("compare: the key is missing or not base64");
    transaction.expectedRevision = int64FromJson(*comparison, "mod_revision");
    return absl::OkStatus();
}

absl::Status readChange(const Json& object, StoreTransaction& transaction)
{
    const absl::StatusOr<Json> change = onlyItem(object, "success");
    if (!change.ok())
        return change.status();
    const Json put = fieldOf(*change, "request_put");
    const Json deletion = fieldOf(*change, "request_delete_range");
    transaction.isDeletion = deletion.is_object();
    const Json& operation = transaction.isDeletion ? deletion : put;
    std::string key;
    if (!readBytes(operation, "key", key) || key != transaction.key)
        return malformed("success: only a change of the compared key is supported");
    if (!readBytes(operation, "value", transaction.value))
        return malformed("success: the value is not base64");
    transaction.lease = int64FromJson(operation, "lease");
    return absl::OkStatus();
}

} // namespace

std::int64_t int64FromJson(const Json& object, const char* name)
{
    const Json field = fieldOf(object, name);
    if (field.is_number_integer())
        return field.get<std::int64_t>();
    std::int64_t number = 0;
    if (!field.is_string() || !absl::SimpleAtoi(field.get_ref<const std::string&>(), &number))
        return 0;
    return number;
}

absl::StatusOr<KeyRange> keyRangeFromJson(const Json& object)
{
    KeyRange range;
    if (!readBytes(object, "key", range.first) || !readBytes(object, "range_end", range.end))
        return malformed("the range is not base64");
    return range;
}

absl::StatusOr<StoreTransaction> transactionFromJson(const Json& object)
{
    StoreTransaction transaction;
    absl::Status status = readComparison(object, transaction);
    if (status.ok())
        status = readChange(object, transaction);
    if (!status.ok())
        return status;
    return transaction;
}

absl::StatusOr<WatchCreation> watchCreationFromJson(const Json& object)
{
    const Json create = fieldOf(object, "create_request");
    absl::StatusOr<KeyRange> range = keyRangeFromJson(create);
    if (!create.is_object() || !range.ok())
        return malformed("create_request: the range is missing or not base64");
    return WatchCreation { *std::move(range), int64FromJson(create, "start_revision") };
}

Json headerToJson(Revision revision)
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", absl::StrCat(revision) },
        { "raft_term", "1" } };
}

Json rangeToJson(absl::Span<const StoredKey> keys, Revision revision)
{
    Json answer = { { "header", headerToJson(revision) } };
    if (keys.empty())
        return answer;
    answer["count"] = absl::StrCat(keys.size());
    for (const StoredKey& stored : keys)
        answer["kvs"].push_back(keyToJson(stored));
    return answer;
}

Json transactionToJson(
    bool isSucceeded, const StoreTransaction& transaction, absl::Span<const StoredKey> present, Revision revision)
{
    Json answer = { { "header", headerToJson(revision) } };
    if (!isSucceeded) {
        answer["responses"] = Json::array({ { { "response_range", rangeToJson(present, revision) } } });
        return answer;
    }
    const char* const name = transaction.isDeletion ? "response_delete_range" : "response_put";
    answer["succeeded"] = true;
    answer["responses"] = Json::array({ { { name, { { "header", { { "revision", absl::StrCat(revision) } } } } } } });
    return answer;
}

Json leaseToJson(const StoredLease& lease, Revision revision)
{
    Json answer = { { "header", headerToJson(revision) }, { "ID", absl::StrCat(lease.id) } };
    const std::int64_t seconds = absl::ToInt64Seconds(lease.timeToLive);
    if (seconds != 0)
        answer["TTL"] = absl::StrCat(seconds);
    return answer;
}

Json changesToJson(absl::Span<const StoredChange> changes, Revision revision)
{
    Json result = { { "header", headerToJson(revision) } };
    for (const StoredChange& change : changes) {
        Json event = { { "kv", keyToJson(change.present) } };
        if (change.isDeleted)
            event["type"] = "DELETE";
        result["events"].push_back(std::move(event));
    }
    return { { "result", std::move(result) } };
}

HttpResponse storeErrorResponse(const absl::Status& status)
{
    int httpStatus = httpBadRequest;
    int grpcCode = grpcInvalidArgument;
    if (errorKindOf(status) == ErrorKind::NotFound) {
        httpStatus = httpNotFound;
        grpcCode = grpcNotFound;
    }
    if (errorKindOf(status) == ErrorKind::WatchExpired)
        grpcCode = grpcOutOfRange;
    const std::string message = absl::StrCat("etcdserver: ", status.message());
    return jsonResponse(httpStatus, { { "error", message }, { "code", grpcCode }, { "message", message } });
}

} // namespace mangohall
