// Measures the size and the encoding time of messages between processes and of calls to workers. The sizes do not
// include the headers of the transport.
#include "adapters/platform_worker/worker_json_func.h"
#include "adapters/wire/peer_wire_func.h"
#include "adapters/wire/thrift_bytes_func.h"
#include "slopes/measure_func.h"
#include "slopes/sample_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int taskCounts[] = { 1, 512 };
constexpr int heartbeatTaskCounts[] = { 0, 1, 4, 8 };

void measureMessage(std::uint64_t seed, absl::string_view name, int size, PeerPayload payload)
{
    const PeerMessage message { NodeName("scheduler-000"), sampleShard(0), std::move(payload) };
    const Stopwatch watch;
    const std::string bytes = toCompactBytes(toWire(message));
    print({ "message", name, seed, size, static_cast<double>(bytes.size()), "B" });
    print({ "messageEncode", name, seed, size, watch.micros(), "us" });
}

void measureJobMessages(std::uint64_t seed, int tasks)
{
    const AttemptId attempt { sampleKey(7), 0 };
    const ShardName home("ledger-07");
    const ShardName shard = sampleShard(0);
    const std::vector<TaskPlacement> placement = samplePlacement(shard, 0, tasks);
    const JobSpec spec = sampleSpec(tasks);
    measureMessage(seed, "SubmitJob", tasks, SubmitJob { attempt.job, "entry-000/1/1", spec });
    JobStatus status;
    status.key = attempt.job;
    status.request = "entry-000/1/1";
    status.phase = JobPhase::Ended;
    status.results.assign(tasks, std::string(sampleResultBytes, 'r'));
    measureMessage(seed, "JobStatus", tasks, status);
    measureMessage(seed, "ReserveCapacity", tasks, ReserveCapacity { attempt, home, spec, "", 0, sampleNow() });
    measureMessage(seed, "CapacityHeld", tasks, CapacityHeld { attempt, shard, placement });
    measureMessage(seed, "StartAttempt", tasks, StartAttempt { attempt, home, spec, "", placement });
    measureMessage(seed, "AttemptPrepared", tasks, AttemptPrepared { attempt, shard });
    measureMessage(seed, "ReleaseAttempt", tasks, ReleaseAttempt { attempt, home, spec, placement });
    PartEnded ended;
    ended.attempt = attempt;
    ended.shard = shard;
    ended.end = PartEnd::Succeeded;
    for (int task = 0; task < tasks; ++task)
        ended.tasks.push_back(sampleReport(attempt.job, 0, task, TaskState::Succeeded));
    measureMessage(seed, "PartEnded", tasks, ended);
    measureMessage(seed, "EndAcknowledged", tasks, EndAcknowledged { attempt });
}

void measureHeartbeat(std::uint64_t seed, int tasks)
{
    const WorkerCall call { { sampleShard(0), 7 }, absl::Seconds(30), Heartbeat() };
    WorkerReport report;
    report.worker = WorkerName("worker-00-00000");
    report.incarnation = "run-0123456789abcdef";
    for (int task = 0; task < tasks; ++task)
        report.tasks.push_back(sampleReport(sampleKey(task), 0, 0, TaskState::Running));
    print({ "workerCall", "heartbeatRequest", seed, tasks, static_cast<double>(toJson(call).dump().size()), "B" });
    const Stopwatch watch;
    const std::string body = toJson(report).dump();
    print({ "workerCall", "heartbeatReply", seed, tasks, static_cast<double>(body.size()), "B" });
    print({ "workerCall", "heartbeatReplyEncode", seed, tasks, watch.micros(), "us" });
    const Stopwatch parseWatch;
    static_cast<void>(workerReportFromJson(nlohmann::json::parse(body)));
    print({ "workerCall", "heartbeatReplyDecode", seed, tasks, parseWatch.micros(), "us" });
}

} // namespace

void measureMessages(std::uint64_t seed)
{
    for (const int tasks : taskCounts)
        measureJobMessages(seed, tasks);
    measureMessage(seed, "RevisionReport", 1, RevisionReport { 51000 });
    measureMessage(seed, "CapacitySummary", 1, CapacitySummary { sampleShard(0), 1000, 8, 64, 12 });
    for (const int tasks : heartbeatTaskCounts)
        measureHeartbeat(seed, tasks);
}

} // namespace mangohall
