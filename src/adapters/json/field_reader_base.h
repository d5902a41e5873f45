// Lenient reader for JSON objects.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// 2^53. Above it a double does not represent every integer.
inline constexpr std::int64_t maxExactInteger = std::int64_t { 1 } << 53U;

// Reads the known fields of a JSON object and ignores unknown ones. A field that is absent or null yields its default
// value. A field of the wrong type also does, and is an error. Only the first error is kept, as a status of the kind
// MalformedBody.
class FieldReader {
public:
    // The object has to outlive the reader. A value that is not an object is an error, and every field of it is absent.
    explicit FieldReader(const nlohmann::json& object);

    // A string; empty by default.
    std::string text(absl::string_view field);
    // A 64-bit integer. The fraction of a number that is not an integer is cut off; a magnitude above maxExactInteger
    // of such a number is an error.
    std::int64_t integer(absl::string_view field, std::int64_t defaultValue = 0);
    // An integer from 0 to `maximum`; 0 by default. A number with a fraction is an error.
    std::int64_t wholeNumber(absl::string_view field, std::int64_t maximum = maxExactInteger);
    // An integer from 0 to the largest 32-bit value.
    std::int32_t count(absl::string_view field, std::int32_t defaultValue = 0);
    // A number, with or without a fraction.
    double number(absl::string_view field, double defaultValue = 0);
    // True for the value true and for numbers other than 0; false by default.
    bool flag(absl::string_view field);
    // A duration given as a number of milliseconds.
    absl::Duration milliseconds(absl::string_view field, absl::Duration defaultValue = absl::ZeroDuration());
    // A time given as a number of milliseconds since 1970, with a fraction down to microseconds; 1970 by default. A
    // magnitude above maxExactInteger is an error unless the number is an integer.
    absl::Time time(absl::string_view field);
    // A list of strings; an element of another type is skipped and is an error.
    std::vector<std::string> texts(absl::string_view field);
    // A list of integers from 0 to the largest 32-bit value; any other element is skipped and is an error.
    std::vector<std::int32_t> counts(absl::string_view field);
    // An array; empty by default.
    const nlohmann::json& array(absl::string_view field);
    // A nested object; empty by default.
    const nlohmann::json& object(absl::string_view field);
    // Whether the field is present and not null.
    bool has(absl::string_view field) const;
    // Records an error if the field is absent or null.
    void require(absl::string_view field);
    // Records an error with the message "field: rule", unless an earlier error is recorded.
    void fail(absl::string_view field, absl::string_view rule);

    // The first error so far.
    const absl::Status& status() const { return m_status; }

private:
    // The value of the field; null if it is absent or a JSON null.
    const nlohmann::json* find(absl::string_view field) const;

    const nlohmann::json& m_object;
    absl::Status m_status;
};

} // namespace mangohall
