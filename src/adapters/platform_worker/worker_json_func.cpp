#include "adapters/platform_worker/worker_json_func.h"

#include <utility>

#include "adapters/platform_worker/task_json_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

nlohmann::json fieldsOf(const StartTask& start)
{
    return {
        { "task", toJson(start.task) },
        { "incarnation", start.incarnation },
        { "isPrepared", start.isPrepared },
        { "demand", toJson(start.demand) },
        { "service", start.service.str() },
        { "payload", toBase64(start.payload) },
        { "checkpoint", toBase64(start.checkpoint) },
    };
}

nlohmann::json fieldsOf(const Heartbeat& heartbeat)
{
    nlohmann::json forget = nlohmann::json::array();
    for (const TaskId& task : heartbeat.forget)
        forget.push_back(toJson(task));
    return { { "forget", std::move(forget) } };
}

// The fields of a command whose only field is a task.
template <typename Command> nlohmann::json fieldsOf(const Command& command)
{
    return { { "task", toJson(command.task) } };
}

// Returns the JSON name of a command.
class CommandNamer {
public:
    const char* operator()(const StartTask& /*command*/) const { return "startTask"; }
    const char* operator()(const ReleaseTask& /*command*/) const { return "releaseTask"; }
    const char* operator()(const CheckpointTask& /*command*/) const { return "checkpointTask"; }
    const char* operator()(const StopTask& /*command*/) const { return "stopTask"; }
    const char* operator()(const Heartbeat& /*command*/) const { return "heartbeat"; }
};

absl::Status readFields(const nlohmann::json& fields, absl::string_view path, StartTask& start)
{
    ObjectReader reader(fields, path);
    reader.require("task");
    reader.require("incarnation");
    absl::Status status = readObject(reader, "task", start.task, readTaskId);
    reader.read("incarnation", start.incarnation);
    reader.read("isPrepared", start.isPrepared);
    status.Update(readObject(reader, "demand", start.demand, readResources));
    reader.read("service", start.service);
    status.Update(readBase64(reader, "payload", start.payload));
    status.Update(readBase64(reader, "checkpoint", start.checkpoint));
    status.Update(reader.finish());
    return status;
}

absl::Status readFields(const nlohmann::json& fields, absl::string_view path, Heartbeat& heartbeat)
{
    ObjectReader reader(fields, path);
    absl::Status status = readObjects(reader, "forget", heartbeat.forget, readTaskId);
    status.Update(reader.finish());
    return status;
}

template <typename Command>
absl::Status readFields(const nlohmann::json& fields, absl::string_view path, Command& command)
{
    ObjectReader reader(fields, path);
    reader.require("task");
    absl::Status status = readObject(reader, "task", command.task, readTaskId);
    status.Update(reader.finish());
    return status;
}

// Reads the command if it is of this type. Returns whether it is.
template <typename Command>
bool readCommandAs(ObjectReader& reader, const Command& empty, WorkerCommand& target, absl::Status& status)
{
    const char* const name = CommandNamer()(empty);
    const nlohmann::json* const fields = reader.find(name);
    if (fields == nullptr)
        return false;
    Command command;
    status.Update(readFields(*fields, reader.pathOf(name), command));
    target = std::move(command);
    return true;
}

absl::Status readCommand(const nlohmann::json& fields, absl::string_view path, WorkerCommand& target)
{
    ObjectReader reader(fields, path);
    absl::Status status;
    const int commandCount = static_cast<int>(readCommandAs(reader, StartTask(), target, status))
        + static_cast<int>(readCommandAs(reader, ReleaseTask(), target, status))
        + static_cast<int>(readCommandAs(reader, CheckpointTask(), target, status))
        + static_cast<int>(readCommandAs(reader, StopTask(), target, status))
        + static_cast<int>(readCommandAs(reader, Heartbeat(), target, status));
    if (commandCount != 1)
        status.Update(makeError(ErrorKind::InvalidValue, "command: must contain exactly one command"));
    status.Update(reader.finish());
    return status;
}

absl::Status readFence(const nlohmann::json& fields, absl::string_view path, Fence& target)
{
    ObjectReader reader(fields, path);
    reader.require("shard");
    reader.require("epoch");
    reader.read("shard", target.shard);
    reader.read("epoch", target.epoch);
    return reader.finish();
}

} // namespace

nlohmann::json toJson(const WorkerCall& call)
{
    const char* const name = std::visit(CommandNamer(), call.command);
    nlohmann::json fields = std::visit([](const auto& command) { return fieldsOf(command); }, call.command);
    return {
        { "fence", { { "shard", call.fence.shard.str() }, { "epoch", call.fence.epoch } } },
        { "leaseMs", absl::ToInt64Milliseconds(call.lease) },
        { "command", { { name, std::move(fields) } } },
    };
}

nlohmann::json toJson(const WorkerReport& report)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const TaskReport& task : report.tasks)
        tasks.push_back(toJson(task));
    return {
        { "worker", report.worker.str() },
        { "incarnation", report.incarnation },
        { "isFenced", report.isFenced },
        { "tasks", std::move(tasks) },
    };
}

absl::StatusOr<WorkerCall> workerCallFromJson(const nlohmann::json& fields)
{
    WorkerCall call;
    ObjectReader reader(fields, "");
    reader.require("fence");
    reader.require("leaseMs");
    reader.require("command");
    absl::Status status = readObject(reader, "fence", call.fence, readFence);
    reader.read("leaseMs", call.lease);
    status.Update(readObject(reader, "command", call.command, readCommand));
    status.Update(reader.finish());
    if (!status.ok())
        return status;
    return call;
}

absl::StatusOr<WorkerReport> workerReportFromJson(const nlohmann::json& fields)
{
    WorkerReport report;
    ObjectReader reader(fields, "");
    reader.require("worker");
    reader.require("incarnation");
    reader.read("worker", report.worker);
    reader.read("incarnation", report.incarnation);
    reader.read("isFenced", report.isFenced);
    absl::Status status = readObjects(reader, "tasks", report.tasks, readTaskReport);
    status.Update(reader.finish());
    if (!status.ok())
        return status;
    return report;
}

} // namespace mangohall
