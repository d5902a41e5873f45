#include "platform/standin_command_func.h"

#include <functional>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"

namespace mangohall::platform {

namespace {

using batch::BatchStore;
using batch::SimulatedWorkers;
using Json = nlohmann::json;

absl::Duration millisOf(const Json& command)
{
    return absl::Milliseconds(command.at("ms").get<std::int64_t>());
}

std::string workerOf(const Json& command)
{
    return command.at("worker").get<std::string>();
}

std::string dataCentreOf(const Json& command)
{
    return command.at("dataCentre").get<std::string>();
}

// The fault injection commands for the store, by name.
const std::map<std::string, std::function<void(BatchStore&, const Json&)>> storeCommands = {
    { "storeOut",
        [](BatchStore& store, const Json& command) {
            store.setOut(command.at("on").get<bool>(), command.value("silent", false));
        } },
    { "storeDelay", [](BatchStore& store, const Json& command) { store.setDelay(millisOf(command)); } },
    { "storeLosesReplies",
        [](BatchStore& store, const Json& command) { store.setLostAnswers(command.at("share").get<double>()); } },
    { "storeCommitsLate",
        [](BatchStore& store, const Json& command) { store.setLateCommits(command.at("share").get<double>()); } },
    { "storeForgets", [](BatchStore& store, const Json& /*command*/) { store.compact(); } },
    { "removeJob",
        [](BatchStore& store, const Json& command) {
            const auto job = command.at("job").get<std::string>();
            store.remove({ batch::Collection::Jobs, job });
            store.remove({ batch::Collection::Progress, job });
        } },
    { "manifest",
        [](BatchStore& store, const Json& command) {
            const batch::Record* present = store.find({ batch::Collection::Manifest, "" });
            auto manifest = std::get<batch::Manifest>(present->value);
            manifest.version = command.at("version").get<batch::ManifestVersion>();
            manifest.organisations.front().apiKeys = command.at("keys").get<std::vector<std::string>>();
            store.put({ batch::Collection::Manifest, "" }, manifest);
        } },
    { "evacuate",
        [](BatchStore& store, const Json& command) {
            store.put({ batch::Collection::Evacuations, dataCentreOf(command) }, batch::Evacuation());
        } },
    { "withdrawEvacuation",
        [](BatchStore& store, const Json& command) {
            store.remove({ batch::Collection::Evacuations, dataCentreOf(command) });
        } },
};

// The fault injection commands for the workers, by name.
const std::map<std::string, std::function<void(SimulatedWorkers&, const Json&)>> workerCommands = {
    { "workerDataCentre",
        [](SimulatedWorkers& workers, const Json& command) {
            workers.setDataCentre(workerOf(command), dataCentreOf(command));
        } },
    { "workerCrash",
        [](SimulatedWorkers& workers, const Json& command) { workers.crash(workerOf(command), millisOf(command)); } },
    { "workerRestart", [](SimulatedWorkers& workers, const Json& command) { workers.restart(workerOf(command)); } },
    { "workerIsolate", [](SimulatedWorkers& workers, const Json& command) { workers.isolate(workerOf(command)); } },
    { "workerPartition",
        [](SimulatedWorkers& workers, const Json& command) { workers.setPartitioned(workerOf(command), true); } },
    { "workersReconnect", [](SimulatedWorkers& workers, const Json& /*command*/) { workers.reconnectAll(); } },
    { "workersRunLate",
        [](SimulatedWorkers& workers, const Json& command) {
            workers.setLateCommands(command.at("share").get<double>());
        } },
    { "workersLoseReplies",
        [](SimulatedWorkers& workers, const Json& command) {
            workers.setLostReplies(command.at("share").get<double>());
        } },
    { "workersRefuse",
        [](SimulatedWorkers& workers, const Json& command) {
            workers.setRefusals(command.at("share").get<double>());
        } },
    { "workersRepeatStarts",
        [](SimulatedWorkers& workers, const Json& /*command*/) {
            workers.setRepeatsStarts(true);
            workers.setForgetsStops(true);
        } },
};

// What the workers have seen: every run, with times in Unix milliseconds, and every violation of a rule.
Json report(const PlatformStandin& platform, const SimulatedWorkers& workers)
{
    const auto millis = [&platform](absl::Time time) { return absl::ToUnixMillis(platform.systemTime(time)); };
    Json runs = Json::array();
    for (const batch::RecordedRun& recorded : workers.recordedRuns()) {
        const batch::TaskRef& task = recorded.run.task.task;
        Json run = { { "job", recorded.run.task.job.str() },
            { "task", absl::StrCat(task.occurrence, ".", task.step, ".", task.index) },
            { "attempt", recorded.run.attempt }, { "worker", recorded.worker }, { "beganMs", millis(recorded.begin) } };
        if (recorded.delayedSince != absl::InfinitePast())
            run["delayedSinceMs"] = millis(recorded.delayedSince);
        if (recorded.end != absl::InfiniteFuture()) {
            run["endedMs"] = millis(recorded.end);
            run["isDone"] = recorded.endKind == batch::RunEnd::Done;
        }
        runs.push_back(std::move(run));
    }
    return { { "runs", std::move(runs) }, { "violations", workers.violations() } };
}

// The node that owns the jobs and workers by the store; empty if there is none.
Json owner(const BatchStore& store)
{
    const batch::Record* record = store.find({ batch::Collection::Holder, "" });
    const auto* holder = record == nullptr ? nullptr : std::get_if<batch::HolderRecord>(&record->value);
    return { { "owner", holder == nullptr ? "" : holder->node.str() } };
}

// The reply contains the time at which the command had been carried out, by the clock of the report.
Json carryOutParsed(PlatformStandin& platform, const Json& command)
{
    const auto name = command.at("do").get<std::string>();
    Json reply = Json::object();
    const auto storeCommand = storeCommands.find(name);
    const auto workerCommand = workerCommands.find(name);
    const bool isReport = name == "report";
    const bool isOwner = name == "owner";
    if (storeCommand == storeCommands.end() && workerCommand == workerCommands.end() && !isReport && !isOwner)
        return { { "error", absl::StrCat("unknown command ", name) } };
    platform.change([&](BatchStore& store, SimulatedWorkers& workers) {
        if (isReport)
            reply = report(platform, workers);
        else if (isOwner)
            reply = owner(store);
        else if (storeCommand != storeCommands.end())
            storeCommand->second(store, command);
        else
            workerCommand->second(workers, command);
        reply["atMs"] = absl::ToUnixMillis(absl::Now());
    });
    return reply;
}

} // namespace

absl::StatusOr<std::string> carryOut(PlatformStandin& platform, absl::string_view command)
{
    constexpr bool throwsOnError = false;
    const Json parsed = Json::parse(command.begin(), command.end(), nullptr, throwsOnError);
    try {
        const Json reply = carryOutParsed(platform, parsed);
        if (reply.contains("error"))
            return absl::InvalidArgumentError(reply["error"].get<std::string>());
        return reply.dump();
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace mangohall::platform
