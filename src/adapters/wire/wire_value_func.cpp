#include "adapters/wire/wire_value_func.h"

#include <limits>

#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr std::int64_t infiniteMicros = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t minusInfiniteMicros = std::numeric_limits<std::int64_t>::min();

} // namespace

std::int64_t toWireTime(absl::Time time)
{
    return toWireDuration(time - absl::UnixEpoch());
}

absl::Time timeFromWire(std::int64_t micros)
{
    return absl::UnixEpoch() + durationFromWire(micros);
}

std::int64_t toWireDuration(absl::Duration duration)
{
    if (duration == absl::InfiniteDuration())
        return infiniteMicros;
    if (duration == -absl::InfiniteDuration())
        return minusInfiniteMicros;
    return absl::ToInt64Microseconds(duration);
}

absl::Duration durationFromWire(std::int64_t micros)
{
    if (micros == infiniteMicros)
        return absl::InfiniteDuration();
    if (micros == minusInfiniteMicros)
        return -absl::InfiniteDuration();
    return absl::Microseconds(micros);
}

std::string toWireErrorKind(ErrorKind kind)
{
    if (kind == ErrorKind::None)
        return "";
    return std::string(errorName(kind));
}

ErrorKind errorKindFromWire(absl::string_view name, WireFault& fault)
{
    if (name.empty())
        return ErrorKind::None;
    const absl::optional<ErrorKind> kind = errorKindFromName(name);
    if (!kind)
        fault.record("error kind");
    return kind.value_or(ErrorKind::Internal);
}

} // namespace mangohall
