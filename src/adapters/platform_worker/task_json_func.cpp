#include "adapters/platform_worker/task_json_func.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr EnumeratorName<TaskState> stateNames[] = {
    { "neverStarted", TaskState::NeverStarted },
    { "prepared", TaskState::Prepared },
    { "running", TaskState::Running },
    { "succeeded", TaskState::Succeeded },
    { "failed", TaskState::Failed },
    { "stoppedBeforeRelease", TaskState::StoppedBeforeRelease },
    { "stopped", TaskState::Stopped },
};

std::string stateName(TaskState state)
{
    for (const EnumeratorName<TaskState>& row : stateNames) {
        if (row.value == state)
            return std::string(row.name);
    }
    return {};
}

} // namespace

nlohmann::json toJson(const TaskId& task)
{
    return {
        { "organisation", task.job.organisation.str() },
        { "requestKey", task.job.requestKey },
        { "attempt", task.attempt },
        { "index", task.index },
    };
}

nlohmann::json toJson(const Resources& resources)
{
    return {
        { "cpuMillis", resources.cpuMillis },
        { "memoryBytes", resources.memoryBytes },
        { "accelerators", resources.accelerators },
    };
}

nlohmann::json toJson(const TaskReport& report)
{
    return {
        { "task", toJson(report.task) },
        { "state", stateName(report.state) },
        { "result", toBase64(report.result) },
        { "checkpoint", toBase64(report.checkpoint) },
        { "usage", toJson(report.usage) },
    };
}

absl::Status readTaskId(const nlohmann::json& fields, absl::string_view path, TaskId& target)
{
    ObjectReader reader(fields, path);
    for (const absl::string_view field : { "organisation", "requestKey", "attempt", "index" })
        reader.require(field);
    reader.read("organisation", target.job.organisation);
    reader.read("requestKey", target.job.requestKey);
    reader.read("attempt", target.attempt);
    reader.read("index", target.index);
    return reader.finish();
}

absl::Status readResources(const nlohmann::json& fields, absl::string_view path, Resources& target)
{
    ObjectReader reader(fields, path);
    reader.read("cpuMillis", target.cpuMillis);
    reader.read("memoryBytes", target.memoryBytes);
    reader.read("accelerators", target.accelerators);
    return reader.finish();
}

absl::Status readTaskReport(const nlohmann::json& fields, absl::string_view path, TaskReport& target)
{
    ObjectReader reader(fields, path);
    reader.require("task");
    reader.require("state");
    absl::Status status = readObject(reader, "task", target.task, readTaskId);
    reader.read<TaskState>("state", target.state, stateNames);
    status.Update(readBase64(reader, "result", target.result));
    status.Update(readBase64(reader, "checkpoint", target.checkpoint));
    status.Update(readObject(reader, "usage", target.usage, readResources));
    status.Update(reader.finish());
    return status;
}

std::string toBase64(absl::string_view bytes)
{
    return absl::Base64Escape(bytes);
}

absl::Status readBase64(ObjectReader& reader, absl::string_view field, std::string& target)
{
    std::string text;
    reader.read(field, text);
    if (absl::Base64Unescape(text, &target))
        return absl::OkStatus();
    return makeError(ErrorKind::InvalidValue, absl::StrCat(reader.pathOf(field), ": must be base64"));
}

} // namespace mangohall
