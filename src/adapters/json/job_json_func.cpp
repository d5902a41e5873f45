#include "adapters/json/job_json_func.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "adapters/json/object_reader_base.h"
#include "core/error_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

constexpr EnumeratorName<Adjacency> adjacencyNames[] = {
    { "anywhere", Adjacency::Anywhere },
    { "sameDataCentre", Adjacency::SameDataCentre },
    { "sameRack", Adjacency::SameRack },
    { "sameWorker", Adjacency::SameWorker },
};

constexpr EnumeratorName<Priority> priorityNames[] = {
    { "batch", Priority::Batch },
    { "normal", Priority::Normal },
    { "urgent", Priority::Urgent },
};

template <typename Value> std::string enumeratorName(absl::Span<const EnumeratorName<Value>> names, Value value)
{
    for (const EnumeratorName<Value>& row : names) {
        if (row.value == value)
            return std::string(row.name);
    }
    return {};
}

absl::Status readShape(ObjectReader& spec, Shape& shape)
{
    const nlohmann::json* field = spec.find("shape");
    if (field == nullptr)
        return absl::OkStatus();
    ObjectReader reader(*field, spec.pathOf("shape"));
    reader.read("tasks", shape.tasks);
    reader.read("acceleratorsPerTask", shape.acceleratorsPerTask);
    reader.read<Adjacency>("adjacency", shape.adjacency, adjacencyNames);
    return reader.finish();
}

absl::Status readPayload(ObjectReader& reader, std::string& payload)
{
    reader.read("payload", payload);
    const bool isText = reader.find("payload") != nullptr;
    if (reader.find("payloadBase64") == nullptr)
        return absl::OkStatus();
    const std::string path = reader.pathOf("payloadBase64");
    if (isText)
        return makeError(ErrorKind::InvalidValue, absl::StrCat(path, ": must not be given together with payload"));
    std::string encoded;
    reader.read("payloadBase64", encoded);
    if (!absl::Base64Unescape(encoded, &payload))
        return makeError(ErrorKind::InvalidValue, absl::StrCat(path, ": must be base64"));
    return absl::OkStatus();
}

// Whether the JSON library can write the text: it throws a type error for a string that is not UTF-8.
bool isUtf8(const std::string& text)
{
    try {
        nlohmann::json(text).dump();
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
    return true;
}

void addTime(nlohmann::json& object, const char* name, absl::Time time)
{
    if (time == absl::InfiniteFuture())
        return;
    object[name] = absl::FormatTime(absl::RFC3339_full, time, absl::UTCTimeZone());
}

void addResults(nlohmann::json& object, const std::vector<std::string>& results)
{
    nlohmann::json list = nlohmann::json::array();
    if (std::all_of(results.begin(), results.end(), isUtf8)) {
        for (const std::string& result : results)
            list.push_back(result);
    } else {
        object["resultsEncoding"] = "base64";
        for (const std::string& result : results)
            list.push_back(absl::Base64Escape(result));
    }
    object["results"] = std::move(list);
}

} // namespace

nlohmann::json toJson(const JobSpec& spec)
{
    nlohmann::json object;
    object["service"] = spec.service.str();
    object["shape"]["tasks"] = spec.shape.tasks;
    object["shape"]["acceleratorsPerTask"] = spec.shape.acceleratorsPerTask;
    object["shape"]["adjacency"] = enumeratorName<Adjacency>(adjacencyNames, spec.shape.adjacency);
    object["cpuMillisPerTask"] = spec.cpuMillisPerTask;
    object["memoryBytesPerTask"] = spec.memoryBytesPerTask;
    object["expectedRunTimeMs"] = absl::ToInt64Milliseconds(spec.expectedRunTime);
    if (spec.deadline != absl::InfiniteDuration())
        object["deadlineMs"] = absl::ToInt64Milliseconds(spec.deadline);
    object["priority"] = enumeratorName<Priority>(priorityNames, spec.priority);
    object["idempotent"] = spec.isIdempotent;
    object["checkpointable"] = spec.isCheckpointable;
    object["acceptsStop"] = spec.acceptsStop;
    if (isUtf8(spec.payload))
        object["payload"] = spec.payload;
    else
        object["payloadBase64"] = absl::Base64Escape(spec.payload);
    return object;
}

absl::StatusOr<JobSpec> jobSpecFromJson(const nlohmann::json& fields, absl::string_view path)
{
    JobSpec spec;
    ObjectReader reader(fields, path);
    reader.require("service");
    reader.read("service", spec.service);
    absl::Status nested = readShape(reader, spec.shape);
    reader.read("cpuMillisPerTask", spec.cpuMillisPerTask);
    reader.read("memoryBytesPerTask", spec.memoryBytesPerTask);
    reader.read("expectedRunTimeMs", spec.expectedRunTime);
    reader.read("deadlineMs", spec.deadline);
    reader.read<Priority>("priority", spec.priority, priorityNames);
    reader.read("idempotent", spec.isIdempotent);
    reader.read("checkpointable", spec.isCheckpointable);
    reader.read("acceptsStop", spec.acceptsStop);
    nested.Update(readPayload(reader, spec.payload));
    if (absl::Status status = reader.finish(); !status.ok())
        return status;
    if (!nested.ok())
        return nested;
    if (absl::Status status = checkJobSpec(spec); !status.ok()) {
        if (path.empty())
            return status;
        return makeError(errorKindOf(status), absl::StrCat(path, ".", status.message()));
    }
    return spec;
}

Execution executionOf(const JobStatus& status)
{
    if (status.refusal != ErrorKind::None)
        return errorRow(status.refusal).execution;
    if (status.phase != JobPhase::Ended)
        return Execution::Unknown;
    return errorRow(status.outcome).execution;
}

nlohmann::json toJson(const JobStatus& status)
{
    nlohmann::json object;
    object["organisation"] = status.key.organisation.str();
    object["requestKey"] = status.key.requestKey;
    object["phase"] = std::string(phaseName(status.phase));
    object["attempt"] = status.attempt;
    addTime(object, "acceptedAt", status.acceptedAt);
    addTime(object, "releasedAt", status.releasedAt);
    addTime(object, "endedAt", status.endedAt);
    object["execution"] = std::string(executionName(executionOf(status)));
    if (status.phase != JobPhase::Ended)
        return object;
    object["outcome"] = status.outcome == ErrorKind::None ? "succeeded" : std::string(errorName(status.outcome));
    addResults(object, status.results);
    return object;
}

} // namespace mangohall
