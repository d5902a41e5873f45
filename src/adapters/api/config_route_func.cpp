#include "adapters/api/config_route_func.h"

#include <algorithm>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/strip.h"
#include "adapters/api/target_func.h"
#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr std::size_t kindSegmentCount = 2;
constexpr std::size_t objectSegmentCount = 3;
constexpr std::size_t maxChangeIdLength = 128;
constexpr absl::string_view listParameters[] = { "declared", "watch" };

// Parses an entity tag as a revision; the quotes are optional.
absl::StatusOr<Revision> parseEntityTag(absl::string_view text)
{
    text = absl::StripAsciiWhitespace(text);
    if (absl::ConsumePrefix(&text, "\"") && !absl::ConsumeSuffix(&text, "\""))
        return makeError(ErrorKind::InvalidValue, "If-Match: has an unbalanced quote");
    return parseNumber("If-Match", text);
}

// Returns the revision that the request expects the resource to have: 0 if it must not exist yet, nothing if any
// revision is accepted.
absl::StatusOr<absl::optional<Revision>> expectedRevisionOf(absl::Span<const ApiHeader> headers)
{
    const absl::optional<std::string> match = findHeader(headers, "If-Match");
    const absl::optional<std::string> noneMatch = findHeader(headers, "If-None-Match");
    if (match && noneMatch)
        return makeError(ErrorKind::InvalidValue, "If-Match: must not be given together with If-None-Match");
    if (noneMatch) {
        if (*noneMatch != "*")
            return makeError(ErrorKind::InvalidValue, "If-None-Match: must be *");
        return absl::optional<Revision>(0);
    }
    if (!match)
        return absl::optional<Revision>();
    const absl::StatusOr<Revision> revision = parseEntityTag(*match);
    if (!revision.ok())
        return revision.status();
    return absl::optional<Revision>(*revision);
}

// Returns the change id of the X-Change-Id header, or the generated one if there is no such header.
absl::StatusOr<std::string> changeIdOf(absl::Span<const ApiHeader> headers, absl::string_view generated)
{
    std::string changeId = findHeader(headers, "X-Change-Id").value_or(std::string(generated));
    const bool isPrintable = std::all_of(changeId.begin(), changeId.end(), absl::ascii_isgraph);
    if (changeId.empty() || changeId.size() > maxChangeIdLength || !isPrintable)
        return makeError(ErrorKind::InvalidValue, "X-Change-Id: must have 1 to 128 visible characters");
    return changeId;
}

// Parses the body of a declaration. It contains the spec and may repeat kind and name, as a declaration file does;
// these must then match the path.
absl::StatusOr<ConfigSpec> readDeclaration(absl::string_view body, ConfigKind kind, const std::string& name)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(body);
    if (!fields.ok())
        return fields.status();
    ObjectReader reader(*fields, "");
    std::string namedKind(configKindName(kind));
    std::string namedName = name;
    reader.read("kind", namedKind);
    reader.read("name", namedName);
    reader.require("spec");
    const nlohmann::json* spec = reader.find("spec");
    if (const absl::Status status = reader.finish(); !status.ok())
        return status;
    if (namedKind != configKindName(kind))
        return makeError(ErrorKind::InvalidValue, "kind: does not match the path");
    if (namedName != name)
        return makeError(ErrorKind::InvalidValue, "name: does not match the path");
    return configSpecFromJson(kind, name, *spec);
}

absl::StatusOr<CallerRequest> routePut(
    const ApiRequest& request, ConfigKind kind, const std::string& name, absl::string_view generatedChangeId)
{
    const absl::StatusOr<absl::optional<Revision>> expected = expectedRevisionOf(request.headers);
    if (!expected.ok())
        return expected.status();
    absl::StatusOr<std::string> changeId = changeIdOf(request.headers, generatedChangeId);
    if (!changeId.ok())
        return changeId.status();
    absl::StatusOr<ConfigSpec> spec = readDeclaration(request.body, kind, name);
    if (!spec.ok())
        return spec.status();
    return CallerRequest(PutRequest { *std::move(spec), *expected, *std::move(changeId) });
}

absl::StatusOr<CallerRequest> routeDelete(const ApiRequest& request, ConfigKind kind, const std::string& name)
{
    const absl::StatusOr<absl::optional<Revision>> expected = expectedRevisionOf(request.headers);
    if (!expected.ok())
        return expected.status();
    return CallerRequest(DeleteRequest { kind, name, *expected });
}

absl::StatusOr<CallerRequest> routeObject(
    const ApiRequest& request, const ApiTarget& target, ConfigKind kind, absl::string_view changeId)
{
    if (const absl::Status status = checkParameters(target, {}); !status.ok())
        return status;
    const std::string& name = target.segments[2];
    if (request.method == "GET")
        return CallerRequest(ReadRequest { kind, name });
    if (request.method == "PUT")
        return routePut(request, kind, name, changeId);
    if (request.method == "DELETE")
        return routeDelete(request, kind, name);
    return makeError(ErrorKind::InvalidValue, "method: must be GET, PUT or DELETE");
}

absl::StatusOr<CallerRequest> routeKind(const ApiRequest& request, const ApiTarget& target, ConfigKind kind)
{
    if (const absl::Status status = checkParameters(target, listParameters); !status.ok())
        return status;
    if (request.method != "GET")
        return makeError(ErrorKind::InvalidValue, "method: must be GET");
    const absl::optional<std::string> watch = findParameter(target, "watch");
    if (!watch)
        return CallerRequest(ReadRequest { kind, "" });
    const absl::StatusOr<Revision> revision = parseNumber("watch", *watch);
    if (!revision.ok())
        return revision.status();
    return CallerRequest(WatchRequest { kind, *revision });
}

} // namespace

absl::StatusOr<CallerRequest> routeConfig(
    const ApiRequest& request, const ApiTarget& target, absl::string_view changeId)
{
    const absl::StatusOr<ConfigKind> kind = configKindFromName(target.segments[1]);
    if (!kind.ok())
        return kind.status();
    if (target.segments.size() == kindSegmentCount)
        return routeKind(request, target, *kind);
    if (target.segments.size() == objectSegmentCount)
        return routeObject(request, target, *kind, changeId);
    return makeError(ErrorKind::NotFound, "there is no such path");
}

} // namespace mangohall
