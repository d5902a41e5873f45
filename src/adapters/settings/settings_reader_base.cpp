#include "adapters/settings/settings_reader_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "adapters/json/json_number_func.h"

namespace mangohall {

namespace {

const nlohmann::json emptyObject = nlohmann::json::object();

} // namespace

SettingsReader::SettingsReader(const nlohmann::json& object, absl::string_view path, std::vector<SettingsFault>& faults)
    : m_fields(object, path)
    , m_faults(faults)
{
    if (!m_fields.isObject())
        m_faults.push_back({ m_fields.path(), "must be an object" });
}

void SettingsReader::requireText(absl::string_view field, std::string& target)
{
    if (!m_fields.has(field)) {
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
    const nlohmann::json* value = m_fields.find(field);
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
    const nlohmann::json* value = m_fields.find(field);
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
    if (!m_fields.has(field)) {
        fail(field, "must be given");
        return;
    }
    readNumber(field, range, target);
}

void SettingsReader::readFraction(absl::string_view field, double& target)
{
    const nlohmann::json* const value = m_fields.find(field);
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
    const nlohmann::json* const value = m_fields.find(field);
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
    const nlohmann::json* value = m_fields.find(field);
    return SettingsReader(value == nullptr ? emptyObject : *value, m_fields.pathOf(field), m_faults);
}

void SettingsReader::fail(absl::string_view field, absl::string_view message)
{
    m_faults.push_back({ m_fields.pathOf(field), std::string(message) });
}

void SettingsReader::finish()
{
    for (const std::string& name : m_fields.unreadNames())
        fail(name, "unknown field");
}

absl::optional<std::int64_t> SettingsReader::readInteger(absl::string_view field, IntegerRange range)
{
    const nlohmann::json* value = m_fields.find(field);
    if (value == nullptr)
        return absl::nullopt;
    if (!value->is_number_integer()) {
        fail(field, "must be a whole number");
        return absl::nullopt;
    }
    const absl::optional<std::int64_t> number = integerInRange(*value, range.minimum, range.maximum);
    if (!number)
        fail(field, absl::StrCat("must be ", range.minimum, " to ", range.maximum));
    return number;
}

} // namespace mangohall
