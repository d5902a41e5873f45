// Formats replies as text tables.
#pragma once

#include <string>

#include "nlohmann/json.hpp"

namespace mangohall {

// Formats an array of JSON objects as a table with a row for each object and a column for each field. The name of the
// object comes first; a missing field is shown as "-".
std::string makeTable(const nlohmann::json& items);

} // namespace mangohall
