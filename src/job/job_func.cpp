#include "job/job_func.h"

#include <cctype>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr std::int32_t maxTasks = 512;
constexpr std::int32_t maxAcceleratorsPerTask = 64;
constexpr std::size_t maxRequestKeyLength = 128;

absl::Status invalid(absl::string_view field, absl::string_view rule)
{
    return makeError(ErrorKind::InvalidValue, absl::StrCat(field, ": ", rule));
}

bool isKeyCharacter(char character)
{
    if (std::isalnum(static_cast<unsigned char>(character)) != 0)
        return true;
    return character == '.' || character == '_' || character == '-';
}

} // namespace

absl::Status checkJobSpec(const JobSpec& spec)
{
    if (spec.service.empty())
        return invalid("service", "must be given");
    if (spec.shape.tasks < 1 || spec.shape.tasks > maxTasks)
        return invalid("shape.tasks", absl::StrCat("must be 1 to ", maxTasks));
    if (spec.shape.acceleratorsPerTask < 0 || spec.shape.acceleratorsPerTask > maxAcceleratorsPerTask)
        return invalid("shape.acceleratorsPerTask", absl::StrCat("must be 0 to ", maxAcceleratorsPerTask));
    if (spec.cpuMillisPerTask < 1)
        return invalid("cpuMillisPerTask", "must be at least 1");
    if (spec.memoryBytesPerTask < 0)
        return invalid("memoryBytesPerTask", "must not be negative");
    if (spec.expectedRunTime <= absl::ZeroDuration())
        return invalid("expectedRunTimeMs", "must be positive");
    if (spec.deadline <= absl::ZeroDuration())
        return invalid("deadlineMs", "must be positive");
    return absl::OkStatus();
}

absl::Status checkRequestKey(absl::string_view requestKey)
{
    if (requestKey.empty() || requestKey.size() > maxRequestKeyLength)
        return invalid("requestKey", absl::StrCat("must have 1 to ", maxRequestKeyLength, " characters"));
    for (const char character : requestKey) {
        if (!isKeyCharacter(character))
            return invalid("requestKey", "may hold only A-Z a-z 0-9 . _ -");
    }
    return absl::OkStatus();
}

std::int64_t totalAccelerators(const Shape& shape)
{
    return static_cast<std::int64_t>(shape.tasks) * shape.acceleratorsPerTask;
}

std::size_t recordBytes(const JobRecord& record)
{
    constexpr std::size_t fixedBytes = 600;
    constexpr std::size_t bytesPerPlacement = 160;
    std::size_t bytes = fixedBytes + record.spec.payload.size() + record.checkpoint.size() + record.message.size();
    bytes += record.placement.size() * bytesPerPlacement;
    for (const std::string& result : record.results)
        bytes += result.size();
    return bytes;
}

bool isEvictable(const JobSpec& spec)
{
    return spec.isIdempotent || spec.isCheckpointable || spec.acceptsStop;
}

absl::Time deadlineOf(const JobRecord& record)
{
    return record.acceptedAt + record.spec.deadline;
}

std::string toText(const JobKey& key)
{
    return absl::StrCat(key.organisation.text(), "/", key.requestKey);
}

std::string toText(const TaskId& id)
{
    return absl::StrCat(toText(id.job), "#", id.attempt, ".", id.index);
}

absl::string_view phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Claimed:
        return "claimed";
    case JobPhase::Released:
        return "released";
    case JobPhase::Ended:
        break;
    }
    return "ended";
}

} // namespace mangohall
