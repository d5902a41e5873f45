// Reads lists of JSON objects from other systems.
#pragma once

#include <type_traits>
#include <vector>

#include "absl/status/statusor.h"
#include "adapters/json/field_reader_base.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// Reads each element of the list by `parse`, which gets a FieldReader of the element. Returns the first error of an
// element.
template <typename Parse>
absl::StatusOr<std::vector<std::invoke_result_t<Parse, FieldReader&>>> readElements(
    const nlohmann::json& list, Parse parse)
{
    std::vector<std::invoke_result_t<Parse, FieldReader&>> elements;
    elements.reserve(list.size());
    for (const nlohmann::json& element : list) {
        FieldReader reader(element);
        elements.push_back(parse(reader));
        if (!reader.status().ok())
            return reader.status();
    }
    return elements;
}

} // namespace mangohall
