// Strict reader for JSON objects.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "adapters/json/json_fields_base.h"
#include "core/name_type.h"
#include "nlohmann/json.hpp"

namespace mangohall {

// An enumerator and its name in JSON.
template <typename Value> struct EnumeratorName {
    absl::string_view name;
    Value value;
};

// Reads the fields of one JSON object. An absent field leaves its target unchanged. Only the first error is kept, as a
// status of the kind InvalidValue; after it every read does nothing. `finish` returns it and also rejects unknown
// fields.
class ObjectReader {
public:
    // `path` prefixes the names of the fields in messages; it may be empty. The object has to outlive the reader. A
    // value that is not an object is an error.
    ObjectReader(const nlohmann::json& object, absl::string_view path);

    // Each `read` reads an optional field of the type of its target.
    void read(absl::string_view field, bool& target);
    void read(absl::string_view field, std::int32_t& target);
    void read(absl::string_view field, std::int64_t& target);
    void read(absl::string_view field, double& target);
    void read(absl::string_view field, std::string& target);
    void read(absl::string_view field, std::vector<std::string>& target);
    // A duration in whole milliseconds, from 0 to 2^53. By convention the name of the field ends in Ms.
    void read(absl::string_view field, absl::Duration& target);

    template <typename Tag> void read(absl::string_view field, Name<Tag>& target)
    {
        std::string text(target.text());
        read(field, text);
        target = Name<Tag>(text);
    }

    template <typename Tag> void read(absl::string_view field, std::vector<Name<Tag>>& target)
    {
        std::vector<std::string> texts;
        read(field, texts);
        for (const std::string& text : texts)
            target.emplace_back(text);
    }

    // An enumerator, given by its name in `names`.
    template <typename Value>
    void read(absl::string_view field, Value& target, absl::Span<const EnumeratorName<Value>> names)
    {
        std::string text;
        read(field, text);
        if (!m_status.ok() || !m_fields.has(field))
            return;
        for (const EnumeratorName<Value>& row : names) {
            if (row.name == text) {
                target = row.value;
                return;
            }
        }
        fail(field, "is not one of the allowed names");
    }

    // The value of a field, for a caller that parses it; null if it is absent or an error is recorded. Marks
    // the field as read.
    const nlohmann::json* find(absl::string_view field);

    // Records an error if the field is absent.
    void require(absl::string_view field);

    // The path of a field, as used in messages.
    std::string pathOf(absl::string_view field) const { return m_fields.pathOf(field); }

    // The first error so far. Unknown fields are not checked.
    const absl::Status& status() const { return m_status; }

    // The first error so far, or else UnknownField for a field that no read function asked for. Call it after all
    // reads.
    absl::Status finish();

private:
    // Records InvalidValue with the message "path: rule", unless an earlier error is recorded.
    void fail(absl::string_view field, absl::string_view rule);
    // The value of an integer field. Empty if the field is absent, or if it is not an integer from `minimum` to
    // `maximum`, which is recorded as an error.
    absl::optional<std::int64_t> findInteger(absl::string_view field, std::int64_t minimum, std::int64_t maximum);

    JsonFields m_fields;
    absl::Status m_status;
};

} // namespace mangohall
