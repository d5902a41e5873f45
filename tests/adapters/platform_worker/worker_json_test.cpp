#include "adapters/platform_worker/worker_json_func.h"

#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

const TaskId task { { OrganisationName("zagara"), "key" }, 2, 3 };
const Fence fence { ShardName("ct-a-0"), 9 };

StartTask sampleStart()
{
    StartTask start;
    start.task = task;
    start.incarnation = "run-1";
    start.isPrepared = true;
    start.demand = Resources { 1, 2, 3 };
    start.service = ServiceName("regdesk");
    start.payload = std::string("\0\xff", 2);
    start.checkpoint = "checkpoint";
    return start;
}

std::vector<WorkerCommand> sampleCommands()
{
    return { sampleStart(), ReleaseTask { task }, CheckpointTask { task }, StopTask { task },
        Heartbeat { { task, TaskId() } } };
}

absl::StatusOr<WorkerCall> throughText(const WorkerCall& call)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(toJson(call).dump());
    return workerCallFromJson(*fields);
}

TEST(WorkerJson, EveryCommandComesBackAsItWas)
{
    const std::vector<WorkerCommand> commands = sampleCommands();
    EXPECT_EQ(commands.size(), std::variant_size_v<WorkerCommand>);
    for (const WorkerCommand& command : commands) {
        const WorkerCall call { fence, absl::Seconds(30), command };
        const absl::StatusOr<WorkerCall> back = throughText(call);
        ASSERT_TRUE(back.ok()) << back.status();
        EXPECT_EQ(back->fence, call.fence);
        EXPECT_EQ(back->lease, call.lease);
        EXPECT_EQ(back->command.index(), command.index());
        EXPECT_EQ(toJson(*back), toJson(call));
    }
}

TEST(WorkerJson, AStartKeepsItsBytes)
{
    const absl::StatusOr<WorkerCall> back = throughText({ fence, absl::Seconds(30), sampleStart() });
    const auto& start = std::get<StartTask>(back->command);
    EXPECT_EQ(start.payload, sampleStart().payload);
    EXPECT_EQ(start.checkpoint, "checkpoint");
    EXPECT_EQ(start.demand, sampleStart().demand);
    EXPECT_TRUE(start.isPrepared);
}

TEST(WorkerJson, AReportComesBackAsItWas)
{
    WorkerReport report { WorkerName("w1"), "run-1", {}, true };
    for (const TaskState state : { TaskState::NeverStarted, TaskState::Prepared, TaskState::Running,
             TaskState::Succeeded, TaskState::Failed, TaskState::StoppedBeforeRelease, TaskState::Stopped })
        report.tasks.push_back({ task, state, std::string("\0\xff", 2), "c", Resources { 4, 5, 6 } });
    const absl::StatusOr<WorkerReport> back = workerReportFromJson(toJson(report));
    ASSERT_TRUE(back.ok()) << back.status();
    EXPECT_EQ(back->worker, report.worker);
    EXPECT_EQ(back->incarnation, report.incarnation);
    EXPECT_EQ(back->isFenced, report.isFenced);
    EXPECT_EQ(back->tasks, report.tasks);
}

TEST(WorkerJson, RejectsMalformedCalls)
{
    for (const char* const text : { "[]", "{}", R"({"fence":1,"leaseMs":1,"command":{}})",
             R"({"fence":{"shard":"s","epoch":1},"leaseMs":1,"command":{}})",
             R"({"fence":{"shard":"s","epoch":1},"leaseMs":1,"command":{"heartbeat":{},"stopTask":{}}})",
             R"({"fence":{"shard":"s","epoch":1},"leaseMs":1,"command":{"heartbeat":{"forget":7}}})",
             R"({"fence":{"shard":"s","epoch":1},"leaseMs":1,"command":{"stopTask":{"task":[]}}})" })
        EXPECT_FALSE(workerCallFromJson(*parseJson(text)).ok()) << text;
}

TEST(WorkerJson, RefusesAResultThatIsNotBase64)
{
    nlohmann::json fields = toJson(WorkerReport { WorkerName("w1"), "run-1", { TaskReport() }, false });
    fields["tasks"][0]["result"] = "*";
    EXPECT_EQ(errorKindOf(workerReportFromJson(fields).status()), ErrorKind::InvalidValue);
}

} // namespace
} // namespace mangohall
