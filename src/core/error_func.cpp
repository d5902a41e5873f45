#include "core/error_func.h"

#include <cstdint>
#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace mangohall {

namespace {

// The type URL under which a status carries the name of its kind.
constexpr absl::string_view kindPayloadUrl = "mangohall/error-kind";
// The type URL of an empty payload; a status that has it ends a request that was not sent.
constexpr absl::string_view notSentPayloadUrl = "mangohall/not-sent";
// The type URL under which a status carries the delay of its sender, in microseconds.
constexpr absl::string_view senderDelayPayloadUrl = "mangohall/sender-delay";

} // namespace

const ErrorRow& errorRow(ErrorKind kind)
{
    for (const ErrorRow& row : errorTable) {
        if (row.kind == kind)
            return row;
    }
    return errorRow(ErrorKind::Internal);
}

absl::string_view errorName(ErrorKind kind)
{
    return errorRow(kind).name;
}

absl::optional<ErrorKind> errorKindFromName(absl::string_view name)
{
    for (const ErrorRow& row : errorTable) {
        if (row.name == name)
            return row.kind;
    }
    return absl::nullopt;
}

absl::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::Ran:
        return "ran";
    case Execution::NotRun:
        return "notRun";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

absl::Status makeError(ErrorKind kind, absl::string_view message)
{
    if (kind == ErrorKind::None)
        return absl::OkStatus();
    absl::Status status(errorRow(kind).code, message);
    status.SetPayload(kindPayloadUrl, absl::Cord(errorName(kind)));
    return status;
}

absl::Status markNotSent(absl::Status status)
{
    status.SetPayload(notSentPayloadUrl, absl::Cord());
    return status;
}

bool isNotSent(const absl::Status& status)
{
    return status.GetPayload(notSentPayloadUrl).has_value();
}

absl::Status markSenderDelay(absl::Status status, absl::Duration delay)
{
    status.SetPayload(senderDelayPayloadUrl, absl::Cord(absl::StrCat(absl::ToInt64Microseconds(delay))));
    return status;
}

absl::Duration senderDelayOf(const absl::Status& status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(senderDelayPayloadUrl);
    std::int64_t microseconds = 0;
    if (!payload || !absl::SimpleAtoi(std::string(*payload), &microseconds))
        return absl::ZeroDuration();
    return absl::Microseconds(microseconds);
}

ErrorKind errorKindOf(const absl::Status& status)
{
    if (status.ok())
        return ErrorKind::None;
    const absl::optional<absl::Cord> payload = status.GetPayload(kindPayloadUrl);
    if (!payload)
        return ErrorKind::Internal;
    return errorKindFromName(std::string(*payload)).value_or(ErrorKind::Internal);
}

} // namespace mangohall
