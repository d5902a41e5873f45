// Reads integers from JSON values without loss.
#pragma once

#include <cstdint>

#include "absl/types/optional.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// The value as an integer; empty if it is not an integer from `minimum` to `maximum`. A number with a fraction or an
// exponent is not an integer.
absl::optional<std::int64_t> integerInRange(const nlohmann::json& value, std::int64_t minimum, std::int64_t maximum);

} // namespace mangohall
