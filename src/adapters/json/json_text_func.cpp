#include "adapters/json/json_text_func.h"

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

// The position after the string whose opening quotation mark precedes `position`, or the end of the text.
std::size_t skipString(absl::string_view text, std::size_t position)
{
    while (true) {
        const std::size_t quote = text.find('"', position);
        if (quote == absl::string_view::npos)
            return text.size();
        std::size_t backslashes = 0;
        while (quote - backslashes > position && text[quote - backslashes - 1] == '\\')
            ++backslashes;
        if (backslashes % 2 == 0)
            return quote + 1;
        position = quote + 1;
    }
}

// Whether arrays and objects are nested deeper than the limit. The text need not be JSON.
bool isNestedTooDeeply(absl::string_view text)
{
    int depth = 0;
    for (std::size_t position = 0; position < text.size();) {
        const char byte = text[position++];
        if (byte == '"')
            position = skipString(text, position);
        else if (byte == '[' || byte == '{')
            ++depth;
        else if (byte == ']' || byte == '}')
            --depth;
        if (depth > maxJsonNesting)
            return true;
    }
    return false;
}

} // namespace

absl::StatusOr<nlohmann::json> parseJson(absl::string_view text)
{
    if (isNestedTooDeeply(text))
        return makeError(ErrorKind::MalformedBody, absl::StrCat("nested deeper than ", maxJsonNesting, " levels"));
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error& error) {
        return makeError(ErrorKind::MalformedBody, absl::StrCat("not JSON at byte ", error.byte));
    } catch (const nlohmann::json::out_of_range&) {
        return makeError(ErrorKind::MalformedBody, "a number is out of range");
    } catch (const nlohmann::json::exception&) {
        return makeError(ErrorKind::MalformedBody, "not JSON");
    }
}

std::string toJsonText(const nlohmann::json& value)
{
    constexpr int noIndent = -1;
    return value.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mangohall
