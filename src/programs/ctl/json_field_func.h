// Lenient access to fields of answers: a field of an unexpected type counts as absent.
#pragma once

#include <string>

#include "nlohmann/json.hpp"

namespace mangohall {

// Returns the text of a field, or an empty string if it is absent.
inline std::string textField(const nlohmann::json& object, const char* field)
{
    if (!object.is_object())
        return "";
    const auto found = object.find(field);
    return found == object.end() || !found->is_string() ? "" : found->get<std::string>();
}

// Returns whether a field exists and is true.
inline bool isFieldTrue(const nlohmann::json& object, const char* field)
{
    if (!object.is_object())
        return false;
    const auto found = object.find(field);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace mangohall
