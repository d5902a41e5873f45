// Strict reading of one section of a settings file.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "adapters/settings/settings_fault_func.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// The least and the greatest value allowed.
struct IntegerRange {
    std::int64_t least = 0;
    std::int64_t most = 0;
};

// Reads the fields of one JSON object and notes every fault, not only the first. An absent field leaves its target as
// it is; a faulty one does so too.
class SettingsReader {
public:
    // `path` is empty for the whole file. The object and the list of faults have to outlive the reader.
    SettingsReader(const nlohmann::json& object, absl::string_view path, std::vector<SettingsFault>& faults);

    // Text that has to be there and must not be empty.
    void requireText(absl::string_view field, std::string& target);
    void readText(absl::string_view field, std::string& target);
    // Text that has to be one of the words.
    void readWord(absl::string_view field, std::string& target, absl::Span<const absl::string_view> words);
    // A list of texts, none of them empty.
    void readTexts(absl::string_view field, std::vector<std::string>& target);
    void requireInteger(absl::string_view field, IntegerRange range, std::int64_t& target);
    template <typename Number> void readNumber(absl::string_view field, IntegerRange range, Number& target)
    {
        const absl::optional<std::int64_t> value = readInteger(field, range);
        if (value)
            target = static_cast<Number>(*value);
    }
    // A number above 0 and up to 1.
    void readShare(absl::string_view field, double& target);
    // Whole milliseconds; the field's name ends in Ms.
    void readDuration(absl::string_view field, IntegerRange rangeMs, absl::Duration& target);

    // A reader of a nested object. An absent one reads as empty, so that what it requires is missed there.
    SettingsReader section(absl::string_view field);

    // The names of every field of the object.
    std::vector<std::string> fields() const;

    // Notes a fault of a field.
    void fail(absl::string_view field, absl::string_view message);

    // Notes every field that nobody has read. Called last.
    void finish();

private:
    const nlohmann::json* find(absl::string_view field);
    absl::optional<std::int64_t> readInteger(absl::string_view field, IntegerRange range);
    std::string pathOf(absl::string_view field) const;

    const nlohmann::json& m_object;
    const std::string m_path;
    std::vector<SettingsFault>& m_faults;
    std::set<std::string> m_known;
};

} // namespace mangohall
