#include "adapters/json/json_text_func.h"

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

absl::StatusOr<nlohmann::json> parseJson(absl::string_view text)
{
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error& error) {
        return makeError(ErrorKind::MalformedBody, absl::StrCat("not JSON at byte ", error.byte));
    } catch (const nlohmann::json::exception& error) {
        return makeError(ErrorKind::MalformedBody, absl::StrCat("not JSON: ", error.what()));
    }
}

std::string toJsonText(const nlohmann::json& value)
{
    constexpr int noIndent = -1;
    return value.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mangohall
