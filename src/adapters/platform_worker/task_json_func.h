// Conversion of tasks to and from the JSON of the worker protocol. Bytes are sent as base64.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "adapters/json/object_reader_base.h"
#include "job/job_type.h"
#include "nlohmann/json.hpp"
#include "worker/worker_type.h"

namespace mangohall {

nlohmann::json toJson(const TaskId& task);
nlohmann::json toJson(const Resources& resources);
nlohmann::json toJson(const TaskReport& report);

// These read a target from a JSON object whose own path is `path`. InvalidValue or UnknownField with the path of the
// field.
absl::Status readTaskId(const nlohmann::json& fields, absl::string_view path, TaskId& target);
absl::Status readResources(const nlohmann::json& fields, absl::string_view path, Resources& target);
absl::Status readTaskReport(const nlohmann::json& fields, absl::string_view path, TaskReport& target);

// Encodes bytes as base64, and reads a base64 field. An absent field reads as empty. InvalidValue if the field is not
// base64.
std::string toBase64(absl::string_view bytes);
absl::Status readBase64(ObjectReader& reader, absl::string_view field, std::string& target);

// Reads the object in a field with one of the functions above. An absent field leaves the target unchanged.
template <typename Target>
absl::Status readObject(ObjectReader& reader, absl::string_view field, Target& target,
    absl::Status (*read)(const nlohmann::json&, absl::string_view, Target&))
{
    const nlohmann::json* const object = reader.find(field);
    if (object == nullptr)
        return absl::OkStatus();
    return read(*object, reader.pathOf(field), target);
}

// Reads each object of the array in a field in the same way and appends it to the targets. Returns the first error.
template <typename Target>
absl::Status readObjects(ObjectReader& reader, absl::string_view field, std::vector<Target>& targets,
    absl::Status (*read)(const nlohmann::json&, absl::string_view, Target&))
{
    const nlohmann::json* const array = reader.find(field);
    if (array == nullptr)
        return absl::OkStatus();
    absl::Status status;
    for (const nlohmann::json& item : *array) {
        targets.emplace_back();
        status.Update(read(item, reader.pathOf(field), targets.back()));
    }
    return status;
}

} // namespace mangohall
