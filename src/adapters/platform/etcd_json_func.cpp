#include "adapters/platform/etcd_json_func.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "nlohmann/json.hpp"

namespace mangohall {

namespace {

using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpTooManyRequests = 429;
constexpr int httpFirstClientError = 400;
constexpr int httpFirstServerError = 500;

// The gRPC status codes that the gateway passes on.
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;
constexpr int grpcOutOfRange = 11;

// Returns the field, or null if it is absent: the gateway omits fields that have their default value.
const Json& fieldOf(const Json& object, const char* name)
{
    static const Json absent;
    const auto field = object.find(name);
    return field == object.end() ? absent : *field;
}

std::int64_t numberOf(const Json& object, const char* name)
{
    const Json& field = fieldOf(object, name);
    if (field.is_number_integer())
        return field.get<std::int64_t>();
    std::int64_t number = 0;
    if (!field.is_string() || !absl::SimpleAtoi(field.get_ref<const std::string&>(), &number))
        return 0;
    return number;
}

bool flagOf(const Json& object, const char* name)
{
    const Json& field = fieldOf(object, name);
    return field.is_boolean() && field.get<bool>();
}

std::string bytesOf(const Json& object, const char* name)
{
    const Json& field = fieldOf(object, name);
    std::string bytes;
    if (!field.is_string() || !absl::Base64Unescape(field.get_ref<const std::string&>(), &bytes))
        return {};
    return bytes;
}

std::string textOf(const Json& object, const char* name)
{
    const Json& field = fieldOf(object, name);
    return field.is_string() ? field.get<std::string>() : std::string();
}

EtcdKeyValue readKeyValue(const Json& object)
{
    EtcdKeyValue keyValue;
    keyValue.key = bytesOf(object, "key");
    keyValue.value = bytesOf(object, "value");
    keyValue.modRevision = numberOf(object, "mod_revision");
    return keyValue;
}

void readKeyValues(const Json& object, EtcdResponse& response)
{
    for (const Json& item : fieldOf(object, "kvs"))
        response.keyValues.push_back(readKeyValue(item));
}

void readEvents(const Json& object, EtcdResponse& response)
{
    for (const Json& event : fieldOf(object, "events")) {
        EtcdKeyValue keyValue = readKeyValue(fieldOf(event, "kv"));
        keyValue.isDeleted = textOf(event, "type") == "DELETE";
        response.keyValues.push_back(std::move(keyValue));
    }
}

EtcdResponse readResponse(const Json& object)
{
    EtcdResponse response;
    response.revision = numberOf(fieldOf(object, "header"), "revision");
    readKeyValues(object, response);
    for (const Json& operation : fieldOf(object, "responses"))
        readKeyValues(fieldOf(operation, "response_range"), response);
    readEvents(object, response);
    response.isSucceeded = flagOf(object, "succeeded");
    response.lease = numberOf(object, "ID");
    response.timeToLiveSeconds = numberOf(object, "TTL");
    response.isCreated = flagOf(object, "created");
    response.isCancelled = flagOf(object, "canceled");
    response.compactRevision = numberOf(object, "compact_revision");
    return response;
}

Json parseObject(absl::string_view text)
{
    Json parsed = Json::parse(text.begin(), text.end(), nullptr, false);
    return parsed.is_object() ? parsed : Json();
}

// Converts an error object, which is the response itself or, in a stream, its field "error".
absl::Status statusFromError(int httpStatus, const Json& error)
{
    const std::int64_t grpcCode = numberOf(error, "code") + numberOf(error, "grpc_code");
    const std::string message = absl::StrCat("the store: ", textOf(error, "message"), " (HTTP ", httpStatus, ")");
    if (grpcCode == grpcInvalidArgument)
        return makeError(ErrorKind::InvalidValue, message);
    if (grpcCode == grpcNotFound)
        return makeError(ErrorKind::NotFound, message);
    if (grpcCode == grpcOutOfRange)
        return makeError(ErrorKind::WatchExpired, message);
    const bool isRefused = httpStatus >= httpFirstClientError && httpStatus < httpFirstServerError;
    if (isRefused && httpStatus != httpTooManyRequests)
        return makeError(ErrorKind::Internal, message);
    return makeError(ErrorKind::StoreUnavailable, message);
}

} // namespace

absl::StatusOr<EtcdResponse> etcdResponseFromJson(absl::string_view text)
{
    const Json object = parseObject(text);
    if (object.is_null())
        return makeError(ErrorKind::StoreUnavailable, "the store: the response is not a JSON object");
    const Json& error = fieldOf(object, "error");
    if (error.is_object())
        return statusFromError(static_cast<int>(numberOf(error, "http_code")), error);
    // In a stream each message is wrapped in a field "result".
    const Json& result = fieldOf(object, "result");
    const Json& response = result.is_object() ? result : object;
    if (!fieldOf(response, "header").is_object())
        return makeError(ErrorKind::StoreUnavailable, "the store: the response has no header");
    return readResponse(response);
}

absl::StatusOr<EtcdResponse> etcdResponseFromHttp(const absl::StatusOr<HttpResponse>& httpResponse)
{
    if (!httpResponse.ok())
        return makeError(ErrorKind::StoreUnavailable, httpResponse.status().message());
    if (httpResponse->status != httpOk)
        return etcdStatusFromHttp(httpResponse->status, httpResponse->body);
    return etcdResponseFromJson(httpResponse->body);
}

absl::Status etcdStatusFromHttp(int httpStatus, absl::string_view body)
{
    const Json object = parseObject(body);
    const Json& nested = fieldOf(object, "error");
    return statusFromError(httpStatus, nested.is_object() ? nested : object);
}

} // namespace mangohall
