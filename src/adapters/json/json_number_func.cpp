#include "adapters/json/json_number_func.h"

#include <limits>

namespace mangohall {

absl::optional<std::int64_t> integerInRange(const nlohmann::json& value, std::int64_t minimum, std::int64_t maximum)
{
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer())
        return absl::nullopt;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > largest)
        return absl::nullopt;
    const auto number = value.get<std::int64_t>();
    if (number < minimum || number > maximum)
        return absl::nullopt;
    return number;
}

} // namespace mangohall
