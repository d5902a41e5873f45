#include "adapters/json/object_reader_base.h"

#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/json_number_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// 2^53 ms. A longer duration in milliseconds could not be distinguished from an infinite one.
constexpr std::int64_t maxDurationMs = std::int64_t { 1 } << 53U;

} // namespace

ObjectReader::ObjectReader(const nlohmann::json& object, absl::string_view path)
    : m_fields(object, path)
{
    if (!m_fields.isObject()) {
        const absl::string_view name = path.empty() ? "the JSON value" : path;
        m_status = makeError(ErrorKind::InvalidValue, absl::StrCat(name, ": must be an object"));
    }
}

void ObjectReader::read(absl::string_view field, bool& target)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_boolean()) {
        fail(field, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void ObjectReader::read(absl::string_view field, std::int32_t& target)
{
    using Limits = std::numeric_limits<std::int32_t>;
    const absl::optional<std::int64_t> value = findInteger(field, Limits::min(), Limits::max());
    if (value)
        target = static_cast<std::int32_t>(*value);
}

void ObjectReader::read(absl::string_view field, std::int64_t& target)
{
    using Limits = std::numeric_limits<std::int64_t>;
    const absl::optional<std::int64_t> value = findInteger(field, Limits::min(), Limits::max());
    if (value)
        target = *value;
}

void ObjectReader::read(absl::string_view field, double& target)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_number()) {
        fail(field, "must be a number");
        return;
    }
    target = value->get<double>();
}

void ObjectReader::read(absl::string_view field, std::string& target)
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

void ObjectReader::read(absl::string_view field, std::vector<std::string>& target)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        fail(field, "must be a list of strings");
        return;
    }
    std::vector<std::string> texts;
    for (const nlohmann::json& item : *value) {
        if (!item.is_string()) {
            fail(absl::StrCat(field, "[", texts.size(), "]"), "must be a string");
            return;
        }
        texts.push_back(item.get<std::string>());
    }
    target = std::move(texts);
}

void ObjectReader::read(absl::string_view field, absl::Duration& target)
{
    const absl::optional<std::int64_t> value = findInteger(field, 0, maxDurationMs);
    if (value)
        target = absl::Milliseconds(*value);
}

const nlohmann::json* ObjectReader::find(absl::string_view field)
{
    const nlohmann::json* value = m_fields.find(field);
    return m_status.ok() ? value : nullptr;
}

void ObjectReader::require(absl::string_view field)
{
    if (m_status.ok() && !m_fields.has(field))
        fail(field, "must be given");
}

absl::Status ObjectReader::finish()
{
    if (!m_status.ok())
        return m_status;
    const std::vector<std::string> unread = m_fields.unreadNames();
    if (!unread.empty())
        return makeError(ErrorKind::UnknownField, absl::StrCat(pathOf(unread.front()), ": unknown field"));
    return absl::OkStatus();
}

void ObjectReader::fail(absl::string_view field, absl::string_view rule)
{
    if (m_status.ok())
        m_status = makeError(ErrorKind::InvalidValue, absl::StrCat(pathOf(field), ": ", rule));
}

absl::optional<std::int64_t> ObjectReader::findInteger(
    absl::string_view field, std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr)
        return absl::nullopt;
    if (!value->is_number_integer()) {
        fail(field, "must be a whole number");
        return absl::nullopt;
    }
    const absl::optional<std::int64_t> number = integerInRange(*value, minimum, maximum);
    if (!number)
        fail(field, absl::StrCat("must be ", minimum, " to ", maximum));
    return number;
}

} // namespace mangohall
