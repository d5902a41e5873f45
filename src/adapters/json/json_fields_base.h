// The fields of one JSON object, for readers that reject unknown ones.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// Finds the fields of a JSON object and notes which of them were asked for. A value that is not an object has no
// fields.
class JsonFields {
public:
    // `path` is the path of the object in messages; it may be empty. The object has to outlive this one.
    JsonFields(const nlohmann::json& object, absl::string_view path);

    bool isObject() const { return m_object.is_object(); }
    const std::string& path() const { return m_path; }
    // The path of a field, as used in messages.
    std::string pathOf(absl::string_view field) const;

    bool has(absl::string_view field) const { return m_object.contains(std::string(field)); }
    // The value of a field, null if it is absent. Marks the field as read.
    const nlohmann::json* find(absl::string_view field);

    // The names of all fields, and of those that were not marked as read.
    std::vector<std::string> names() const;
    std::vector<std::string> unreadNames() const;

private:
    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string> m_readFields;
};

} // namespace mangohall
