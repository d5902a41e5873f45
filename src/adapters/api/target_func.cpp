#include "adapters/api/target_func.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// Length in characters of a percent-encoded byte, "%XX".
constexpr std::size_t escapeLength = 3;

absl::Status invalidTarget(absl::string_view rule)
{
    return makeError(ErrorKind::InvalidValue, absl::StrCat("path: ", rule));
}

bool isEscape(absl::string_view text)
{
    return text.size() >= escapeLength && absl::ascii_isxdigit(static_cast<unsigned char>(text[1]))
        && absl::ascii_isxdigit(static_cast<unsigned char>(text[2]));
}

absl::StatusOr<std::string> decodePercent(absl::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text[0] != '%') {
            decoded.push_back(text[0]);
            text.remove_prefix(1);
            continue;
        }
        if (!isEscape(text))
            return invalidTarget("has an invalid percent-encoding");
        absl::StrAppend(&decoded, absl::HexStringToBytes(text.substr(1, 2)));
        text.remove_prefix(escapeLength);
    }
    return decoded;
}

absl::Status parsePath(absl::string_view path, ApiTarget& target)
{
    if (!absl::StartsWith(path, "/"))
        return invalidTarget("must start with /");
    path.remove_prefix(1);
    if (path.empty())
        return absl::OkStatus();
    for (const absl::string_view part : absl::StrSplit(path, '/')) {
        absl::StatusOr<std::string> segment = decodePercent(part);
        if (!segment.ok())
            return segment.status();
        if (segment->empty())
            return invalidTarget("has an empty segment");
        target.segments.push_back(*std::move(segment));
    }
    return absl::OkStatus();
}

absl::Status parseQuery(absl::string_view query, ApiTarget& target)
{
    for (const absl::string_view part : absl::StrSplit(query, '&', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> pieces = absl::StrSplit(part, absl::MaxSplits('=', 1));
        absl::StatusOr<std::string> name = decodePercent(pieces.first);
        absl::StatusOr<std::string> value = decodePercent(pieces.second);
        if (!name.ok() || !value.ok())
            return invalidTarget("has an invalid percent-encoding");
        if (findParameter(target, *name))
            return makeError(ErrorKind::InvalidValue, absl::StrCat(*name, ": must not be given more than once"));
        target.parameters.push_back({ *std::move(name), *std::move(value) });
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<ApiTarget> parseTarget(absl::string_view target)
{
    const std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
    ApiTarget parsed;
    absl::Status status = parsePath(parts.first, parsed);
    if (status.ok())
        status = parseQuery(parts.second, parsed);
    if (!status.ok())
        return status;
    return parsed;
}

absl::optional<std::string> findParameter(const ApiTarget& target, absl::string_view name)
{
    for (const QueryParameter& parameter : target.parameters) {
        if (parameter.name == name)
            return parameter.value;
    }
    return absl::nullopt;
}

absl::optional<std::string> findHeader(absl::Span<const ApiHeader> headers, absl::string_view name)
{
    for (const ApiHeader& header : headers) {
        if (absl::EqualsIgnoreCase(header.name, name))
            return header.value;
    }
    return absl::nullopt;
}

absl::StatusOr<std::int64_t> parseNumber(absl::string_view name, absl::string_view text)
{
    std::int64_t number = 0;
    const bool isDigits = !text.empty() && std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
    if (!isDigits || !absl::SimpleAtoi(text, &number))
        return makeError(ErrorKind::InvalidValue, absl::StrCat(name, ": must be a non-negative integer"));
    return number;
}

absl::Status checkParameters(const ApiTarget& target, absl::Span<const absl::string_view> allowed)
{
    for (const QueryParameter& parameter : target.parameters) {
        if (std::find(allowed.begin(), allowed.end(), parameter.name) == allowed.end())
            return makeError(ErrorKind::InvalidValue, absl::StrCat(parameter.name, ": is not a known parameter"));
    }
    return absl::OkStatus();
}

} // namespace mangohall
