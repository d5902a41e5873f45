#include "adapters/settings/settings_reader_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace mangohall {

namespace {

const nlohmann::json emptyObject = nlohmann::json::object();

const nlohmann::json& asObject(const nlohmann::json& value)
{
    return value.is_object() ? value : emptyObject;
}

} // namespace

SettingsReader::SettingsReader(const nlohmann::json& object, absl::string_view path, std::vector<SettingsFault>& faults)
    : m_object(asObject(object))
    , m_path(path)
    , m_faults(faults)
{
    if (!object.is_object())
        m_faults.push_back({ m_path, "must be an object" });
}

void SettingsReader::requireText(absl::string_view field, std::string& target)
{
    if (!m_object.contains(std::string(field))) {
        fail(field, "must be given");
        return;
    }
    const std::size_t faultsBefore = m_faults.size();
    readText(field, target);
    if (target.empty() && m_faults.size() == faultsBefore)
        fail(field, "must not be empty");
}

void SettingsReader::readText(absl::string_view field, std::string& target)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_string()) {
        fail(field, "must be a string");
        return;
    }
    target = value->get<std::string>();
}

void SettingsReader::readOneOf(
    absl::string_view field, std::string& target, absl::Span<const absl::string_view> allowed)
{
    std::string value = target;
    readText(field, value);
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
        fail(field, absl::StrCat("must be one of ", absl::StrJoin(allowed, ", ")));
        return;
    }
    target = value;
}

void SettingsReader::readTexts(absl::string_view field, std::vector<std::string>& target)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        fail(field, "must be a list of strings");
        return;
    }
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const nlohmann::json& item = value->at(i);
        if (item.is_string() && !item.get_ref<const std::string&>().empty())
            texts.push_back(item.get<std::string>());
        else
            fail(absl::StrCat(field, "[", i, "]"), "must be a non-empty string");
    }
    target = std::move(texts);
}

void SettingsReader::requireInteger(absl::string_view field, IntegerRange range, std::int64_t& target)
{
    if (!m_object.contains(std::string(field))) {
        fail(field, "must be given");
        return;
    }
    readNumber(field, range, target);
}

void SettingsReader::readFraction(absl::string_view field, double& target)
{
    const nlohmann::json* const value = find(field);
    if (value == nullptr)
        return;
    const double share = value->is_number() ? value->get<double>() : 0;
    if (share <= 0 || share > 1) {
        fail(field, "must be a number above 0 and at most 1");
        return;
    }
    target = share;
}

void SettingsReader::readSeconds(absl::string_view field, IntegerRange rangeMs, absl::Duration& target)
{
    const nlohmann::json* const value = find(field);
    if (value == nullptr)
        return;
    const absl::Duration duration = absl::Seconds(value->is_number() ? value->get<double>() : -1);
    if (duration < absl::Milliseconds(rangeMs.minimum) || duration > absl::Milliseconds(rangeMs.maximum)) {
        fail(field, absl::StrCat("must be a number of seconds from ", rangeMs.minimum, " to ", rangeMs.maximum, " ms"));
        return;
    }
    target = duration;
}

void SettingsReader::readDuration(absl::string_view field, IntegerRange rangeMs, absl::Duration& target)
{
    const absl::optional<std::int64_t> value = readInteger(field, rangeMs);
    if (value)
        target = absl::Milliseconds(*value);
}

SettingsReader SettingsReader::section(absl::string_view field)
{
    const nlohmann::json* value = find(field);
    return SettingsReader(value == nullptr ? emptyObject : *value, pathOf(field), m_faults);
}

std::vector<std::string> SettingsReader::fields() const
{
    std::vector<std::string> names;
    for (const auto& item : m_object.items())
        names.push_back(item.key());
    return names;
}

void SettingsReader::fail(absl::string_view field, absl::string_view message)
{
    m_faults.push_back({ pathOf(field), std::string(message) });
}

void SettingsReader::finish()
{
    for (const std::string& name : fields()) {
        if (m_readFields.find(name) == m_readFields.end())
            fail(name, "unknown field");
    }
}

const nlohmann::json* SettingsReader::find(absl::string_view field)
{
    const std::string name(field);
    m_readFields.insert(name);
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

absl::optional<std::int64_t> SettingsReader::readInteger(absl::string_view field, IntegerRange range)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return absl::nullopt;
    if (!value->is_number_integer()) {
        fail(field, "must be a whole number");
        return absl::nullopt;
    }
    const bool isTooLarge
        = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(range.maximum);
    if (isTooLarge || value->get<std::int64_t>() < range.minimum || value->get<std::int64_t>() > range.maximum) {
        fail(field, absl::StrCat("must be ", range.minimum, " to ", range.maximum));
        return absl::nullopt;
    }
    return value->get<std::int64_t>();
}

std::string SettingsReader::pathOf(absl::string_view field) const
{
    return m_path.empty() ? std::string(field) : absl::StrCat(m_path, ".", field);
}

} // namespace mangohall
