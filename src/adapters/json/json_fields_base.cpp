#include "adapters/json/json_fields_base.h"

#include "absl/strings/str_cat.h"

namespace mangohall {

JsonFields::JsonFields(const nlohmann::json& object, absl::string_view path)
    : m_object(object)
    , m_path(path)
{
}

std::string JsonFields::pathOf(absl::string_view field) const
{
    return m_path.empty() ? std::string(field) : absl::StrCat(m_path, ".", field);
}

const nlohmann::json* JsonFields::find(absl::string_view field)
{
    const std::string name(field);
    m_readFields.insert(name);
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

std::vector<std::string> JsonFields::names() const
{
    std::vector<std::string> names;
    if (!isObject())
        return names;
    for (const auto& item : m_object.items())
        names.push_back(item.key());
    return names;
}

std::vector<std::string> JsonFields::unreadNames() const
{
    std::vector<std::string> unread;
    if (!isObject())
        return unread;
    for (const auto& item : m_object.items()) {
        if (m_readFields.find(item.key()) == m_readFields.end())
            unread.push_back(item.key());
    }
    return unread;
}

} // namespace mangohall
