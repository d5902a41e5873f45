// Strict reader for one section of a settings file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "adapters/json/json_fields_base.h"
#include "adapters/settings/settings_fault_func.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// A range of allowed values; both bounds are included.
struct IntegerRange {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

// Reads the fields of one JSON object and records every error, not only the first. A field that is absent or invalid
// leaves its target unchanged.
class SettingsReader {
public:
    // `path` is the path of the object within the file, empty for the whole file. Errors are appended to `faults`; one
    // is appended at once if `object` is not an object. Both references have to outlive the reader.
    SettingsReader(const nlohmann::json& object, absl::string_view path, std::vector<SettingsFault>& faults);

    // Reads a string that must be present and not empty.
    void requireText(absl::string_view field, std::string& target);
    // Reads an optional string.
    void readText(absl::string_view field, std::string& target);
    // Reads an optional string that must be one of the allowed values.
    void readOneOf(absl::string_view field, std::string& target, absl::Span<const absl::string_view> allowed);
    // Reads an optional list of non-empty strings.
    void readTexts(absl::string_view field, std::vector<std::string>& target);
    // Reads an integer that must be present and within the range.
    void requireInteger(absl::string_view field, IntegerRange range, std::int64_t& target);
    // Reads an optional integer that must be within the range. `Number` has to be able to represent the whole range.
    template <typename Number> void readNumber(absl::string_view field, IntegerRange range, Number& target)
    {
        const absl::optional<std::int64_t> value = readInteger(field, range);
        if (value)
            target = static_cast<Number>(*value);
    }
    // Reads an optional number that must be above 0 and at most 1.
    void readFraction(absl::string_view field, double& target);
    // Reads an optional duration in whole milliseconds, within the range. By convention the name of the field ends in
    // Ms.
    void readDuration(absl::string_view field, IntegerRange rangeMs, absl::Duration& target);

    // Reads an optional duration in seconds, which may have a fraction, within the range. By convention the name of the
    // field ends in S.
    void readSeconds(absl::string_view field, IntegerRange rangeMs, absl::Duration& target);

    // A reader for a nested object. An absent object is read as an empty one, so that its required fields are reported
    // as missing.
    SettingsReader section(absl::string_view field);

    // The names of all fields of the object.
    std::vector<std::string> fields() const { return m_fields.names(); }

    // Records an error of a field.
    void fail(absl::string_view field, absl::string_view message);

    // Records an error for every field of the object that no read function asked for. Call it after all reads.
    void finish();

private:
    // The value of an integer field. Empty if the field is absent, or if it is invalid, which is recorded.
    absl::optional<std::int64_t> readInteger(absl::string_view field, IntegerRange range);

    JsonFields m_fields;
    std::vector<SettingsFault>& m_faults;
};

} // namespace mangohall
