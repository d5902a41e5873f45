// Lenient reading of JSON objects into typed fields.
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

// Reads an object of which only some fields are known. An absent field gives its default, an unknown one is left
// alone, and one of another type is a fault. The first fault is kept; its status has the kind MalformedBody.
class FieldReader {
public:
    // The object has to outlive the reader.
    explicit FieldReader(const nlohmann::json& object);

    std::string text(absl::string_view field);
    std::int64_t integer(absl::string_view field, std::int64_t absent = 0);
    // An integer that a size or number of things has to be.
    std::int32_t count(absl::string_view field, std::int32_t absent = 0);
    double number(absl::string_view field, double absent = 0);
    // True for the value true and for numbers other than 0.
    bool flag(absl::string_view field);
    absl::Duration milliseconds(absl::string_view field, absl::Duration absent = absl::ZeroDuration());
    std::vector<std::string> texts(absl::string_view field);
    std::vector<std::int32_t> counts(absl::string_view field);
    // The elements of an array, or the members of nothing if it is absent.
    const nlohmann::json& array(absl::string_view field);
    const nlohmann::json& object(absl::string_view field);
    bool has(absl::string_view field) const;
    // Notes that the field has to be there.
    void require(absl::string_view field);
    void fail(absl::string_view field, absl::string_view rule);

    const absl::Status& status() const { return m_status; }

private:
    const nlohmann::json* find(absl::string_view field) const;

    const nlohmann::json& m_object;
    absl::Status m_status;
};

} // namespace mangohall
