#include "adapters/json/field_reader_base.h"

#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "adapters/json/json_number_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

const nlohmann::json& emptyArray()
{
    static const nlohmann::json empty = nlohmann::json::array();
    return empty;
}

const nlohmann::json& emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

} // namespace

FieldReader::FieldReader(const nlohmann::json& object)
    : m_object(object)
{
    if (!object.is_object())
        m_status = makeError(ErrorKind::MalformedBody, "is not an object");
}

const nlohmann::json* FieldReader::find(absl::string_view field) const
{
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(std::string(field));
    return found == m_object.end() || found->is_null() ? nullptr : &*found;
}

bool FieldReader::has(absl::string_view field) const
{
    return find(field) != nullptr;
}

void FieldReader::fail(absl::string_view field, absl::string_view rule)
{
    if (m_status.ok())
        m_status = makeError(ErrorKind::MalformedBody, absl::StrCat(field, ": ", rule));
}

void FieldReader::require(absl::string_view field)
{
    if (!has(field))
        fail(field, "is missing");
}

std::string FieldReader::text(absl::string_view field)
{
    const nlohmann::json* found = find(field);
    if (found == nullptr)
        return "";
    if (!found->is_string()) {
        fail(field, "is not a string");
        return "";
    }
    return found->get<std::string>();
}

double FieldReader::number(absl::string_view field, double defaultValue)
{
    const nlohmann::json* found = find(field);
    if (found == nullptr)
        return defaultValue;
    if (!found->is_number()) {
        fail(field, "is not a number");
        return defaultValue;
    }
    return found->get<double>();
}

std::int64_t FieldReader::integer(absl::string_view field, std::int64_t defaultValue)
{
    const nlohmann::json* found = find(field);
    if (found != nullptr && found->is_number_integer()) {
        using Limits = std::numeric_limits<std::int64_t>;
        const absl::optional<std::int64_t> value = integerInRange(*found, Limits::min(), Limits::max());
        if (!value)
            fail(field, "is out of range");
        return value.value_or(defaultValue);
    }
    const double value = number(field, static_cast<double>(defaultValue));
    if (std::abs(value) > static_cast<double>(maxExactInteger)) {
        fail(field, "is out of range");
        return defaultValue;
    }
    return static_cast<std::int64_t>(value);
}

std::int64_t FieldReader::wholeNumber(absl::string_view field, std::int64_t maximum)
{
    const nlohmann::json* found = find(field);
    if (found == nullptr)
        return 0;
    const absl::optional<std::int64_t> value = integerInRange(*found, 0, maximum);
    if (!value)
        fail(field, absl::StrCat("must be a whole number from 0 to ", maximum));
    return value.value_or(0);
}

std::int32_t FieldReader::count(absl::string_view field, std::int32_t defaultValue)
{
    const std::int64_t value = integer(field, defaultValue);
    if (value < 0 || value > std::numeric_limits<std::int32_t>::max()) {
        fail(field, "is out of range");
        return defaultValue;
    }
    return static_cast<std::int32_t>(value);
}

bool FieldReader::flag(absl::string_view field)
{
    const nlohmann::json* found = find(field);
    if (found != nullptr && found->is_boolean())
        return found->get<bool>();
    return number(field) != 0;
}

absl::Duration FieldReader::milliseconds(absl::string_view field, absl::Duration defaultValue)
{
    return has(field) ? absl::Milliseconds(number(field)) : defaultValue;
}

absl::Time FieldReader::time(absl::string_view field)
{
    constexpr double microsecondsPerMillisecond = 1000;
    const std::int64_t whole = integer(field);
    const double value = number(field);
    const double fraction = value - std::trunc(value);
    return absl::FromUnixMillis(whole) + absl::Microseconds(std::llround(fraction * microsecondsPerMillisecond));
}

const nlohmann::json& FieldReader::array(absl::string_view field)
{
    const nlohmann::json* found = find(field);
    if (found == nullptr)
        return emptyArray();
    if (!found->is_array()) {
        fail(field, "is not a list");
        return emptyArray();
    }
    return *found;
}

const nlohmann::json& FieldReader::object(absl::string_view field)
{
    const nlohmann::json* found = find(field);
    if (found == nullptr)
        return emptyObject();
    if (!found->is_object()) {
        fail(field, "is not an object");
        return emptyObject();
    }
    return *found;
}

std::vector<std::string> FieldReader::texts(absl::string_view field)
{
    std::vector<std::string> texts;
    for (const nlohmann::json& element : array(field)) {
        if (element.is_string())
            texts.push_back(element.get<std::string>());
        else
            fail(field, "has an element that is not a string");
    }
    return texts;
}

std::vector<std::int32_t> FieldReader::counts(absl::string_view field)
{
    std::vector<std::int32_t> counts;
    for (const nlohmann::json& element : array(field)) {
        const absl::optional<std::int64_t> count = integerInRange(element, 0, std::numeric_limits<std::int32_t>::max());
        if (count)
            counts.push_back(static_cast<std::int32_t>(*count));
        else
            fail(field, "has an element that is not a whole number in range");
    }
    return counts;
}

} // namespace mangohall
