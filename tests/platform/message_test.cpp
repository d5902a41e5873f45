// Encodes and decodes every message of the platform, malformed ones included.
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "platform/job_json_func.h"
#include "platform/manifest_json_func.h"
#include "platform/node_settings_func.h"
#include "platform/store_key_func.h"
#include "platform/store_message_func.h"
#include "platform/worker_entry_json_func.h"
#include "platform/worker_message_func.h"
#include "gtest/gtest.h"

namespace mangohall::platform {
namespace {

using batch::Collection;

HttpResponse responseOf(int status, const std::string& body = "")
{
    HttpResponse response;
    response.status = status;
    response.body = body;
    return response;
}

std::string itemOf(const std::string& key, const std::string& value, int revision)
{
    return absl::StrCat(R"({"key":")", key, R"(","value":")", absl::Base64Escape(value), R"(","revision":)", revision,
        R"(,"createdRev":1,"leaseId":0,"atRev":9})");
}

TEST(ManifestMessage, ReadsQueuesOrganisationsAndLimits)
{
    const absl::StatusOr<batch::Manifest> manifest = manifestFromJson(R"({"version":7,"routes":[
        {"name":"q","host":"a.example","pathPrefix":"/x/","kind":"non_idempotent","timeoutMs":3000,
         "targetLatencyMs":400,"priority":2,"service":"s","maxAttempts":4,"stretchFactor":1.5,"public":true}],
        "services":[{"name":"s"}],"limits":{"maxBodyBytes":1000},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":72}}],"later":1})");
    ASSERT_TRUE(manifest.ok()) << manifest.status();
    EXPECT_EQ(manifest->version, 7);
    ASSERT_EQ(manifest->queues.size(), 1U);
    EXPECT_EQ(manifest->queues[0].terms, (batch::QueueTerms { 2, 4, 1.5, absl::Milliseconds(400) }));
    EXPECT_TRUE(manifest->queues[0].isPublic);
    EXPECT_EQ(manifest->organisations[0].guaranteedAccelerators, 72);
    EXPECT_EQ(manifest->maxBodyBytes, 1000U);
}

TEST(ManifestMessage, RejectsMalformedManifests)
{
    for (const char* text : { "", "[]", "{}", R"({"version":"x"})", R"({"version":1,"routes":3})",
             R"({"version":1,"routes":[{"priority":"high"}]})", R"({"version":1,"tenants":[{"apiKeys":[1]}]})" })
        EXPECT_EQ(errorKindOf(manifestFromJson(text).status()), ErrorKind::MalformedBody) << text;
}

TEST(WorkerEntryMessage, ReadsAllFields)
{
    const absl::StatusOr<batch::WorkerEntry> entry = workerEntryFromJson("i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"draining","coldLeftMs":0,
            "remainingMs":2500,"capacity":{"cpu":16000,"memMb":2,"gpu":8},"labels":["a","r1-3"],"clockMs":5,"born":77,
            "seqNo":4})");
    ASSERT_TRUE(entry.ok()) << entry.status();
    EXPECT_EQ(entry->rack, RackName("r1-3"));
    EXPECT_EQ(entry->capacity, (Resources { 16000, 2 << 20, 8 }));
    EXPECT_TRUE(entry->isDraining);
    EXPECT_EQ(entry->remaining, absl::Milliseconds(2500));
    EXPECT_EQ(entry->processStartMs, 77);
}

TEST(WorkerEntryMessage, RejectsMalformedEntries)
{
    for (const char* text : { "x", "{}", R"({"service":"s","address":"a","zone":"z","state":"odd","capacity":{}})",
             R"({"service":5,"address":"a","zone":"z","state":"ready","capacity":{}})",
             R"({"service":"s","address":"a","zone":"z","state":"ready","capacity":{"gpu":"many"}})",
             R"({"service":"s","address":"a","zone":"z","state":"ready"})" })
        EXPECT_FALSE(workerEntryFromJson("i-1", text).ok()) << text;
}

TEST(JobMessage, ReadsAllStepFields)
{
    const absl::StatusOr<batch::JobSpec> spec = jobSpecFromJson(R"({"spec":"text","repeatCount":3,"startAtMs":5000,
        "periodMs":2000,"phases":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
        {"count":20,"cpu":2000,"memMb":1024,"gpu":2,"estimateMs":7000,"after":[0],"checkpointing":true,"gang":true,
         "rackLocal":true,"constraints":"a","antiAffinity":2,"speculative":true,"longRunning":true,"image":"i",
         "targetMs":50,"fillCount":true,"allowMiss":1}]})");
    ASSERT_TRUE(spec.ok()) << spec.status();
    EXPECT_EQ(spec->payload, "text");
    EXPECT_EQ(spec->repeatCount, 3);
    EXPECT_EQ(spec->firstDue, absl::FromUnixMillis(5000));
    EXPECT_EQ(spec->steps[0].dataRack, RackName("r1-3"));
    const batch::StepSpec& step = spec->steps[1];
    EXPECT_EQ(step.demand, (Resources { 2000, std::int64_t { 1 } << 30, 2 }));
    EXPECT_TRUE(step.isGang && step.isRackLocal && step.isCheckpointing && step.isSpeculative && step.isLongRunning
        && step.usesSpareProcessor);
    EXPECT_EQ(step.maxPerWorker, 2);
    EXPECT_EQ(step.requiredLabel, batch::WorkerLabel("a"));
}

TEST(JobMessage, RejectsInvalidJobs)
{
    for (const char* text :
        { "", "{}", R"({"phases":[]})", R"({"phases":[{"count":0}]})", R"({"phases":[{"count":-1}]})",
            R"({"phases":[{"count":1,"after":[0]}]})", R"({"phases":[{"count":1,"cpu":"two"}]})",
            R"({"phases":[{"count":1,"gpu":-2}]})", R"({"phases":[{"count":9999999}]})", R"({"phases":[7]})" })
        EXPECT_FALSE(jobSpecFromJson(text).ok()) << text;
}

TEST(StoreMessage, ReadsARecordAndItsAbsence)
{
    const batch::StoreRequest request = batch::ReadRecord { { Collection::Cancellations, "00a1" } };
    const HttpRequest sent = encodeStoreRequest(request, "10.0.0.1:1");
    EXPECT_EQ(sent.url, "http://10.0.0.1:1/v1/kv-key?key=mangohall/jobs/00a1/cancel");
    const batch::StoreReply reply
        = decodeStoreReply(request, responseOf(200, itemOf("mangohall/jobs/00a1/cancel", R"({"requestedMs":5})", 3)));
    ASSERT_EQ(reply.records.size(), 1U);
    EXPECT_EQ(reply.records[0].revision, 3);
    EXPECT_EQ(reply.revision, 9);
    EXPECT_NE(std::get_if<batch::Cancellation>(&reply.records[0].value), nullptr);
    EXPECT_EQ(errorKindOf(decodeStoreReply(request, responseOf(404)).status), ErrorKind::NotFound);
}

TEST(StoreMessage, DistinguishesRefusedFromUnknownOutcomes)
{
    const batch::StoreRequest request = batch::CommitRecords { { { { Collection::Epoch, "" }, 4 } }, {}, {} };
    const auto kindOf = [&request](const absl::StatusOr<HttpResponse>& response) {
        return errorKindOf(decodeStoreReply(request, response).status);
    };
    EXPECT_EQ(kindOf(responseOf(503)), ErrorKind::StoreRefused);
    EXPECT_EQ(kindOf(responseOf(429)), ErrorKind::StoreRefused);
    EXPECT_EQ(kindOf(makeError(ErrorKind::OwnerUnreachable, "refused")), ErrorKind::StoreRefused);
    EXPECT_EQ(kindOf(makeError(ErrorKind::TimedOut, "late")), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(kindOf(responseOf(500)), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(kindOf(responseOf(200, "not JSON")), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(kindOf(responseOf(410)), ErrorKind::WatchExpired);
}

TEST(StoreMessage, AddsAbsentRecordsToAConflict)
{
    const batch::StoreRequest request
        = batch::CommitRecords { { { { Collection::Epoch, "" }, 4 }, { { Collection::Progress, "00a1" }, 0 } }, {},
              {} };
    const std::string body
        = absl::StrCat(R"({"items":[)", itemOf("mangohall/owner/epoch", R"({"node":"n","epoch":2})", 6), "]}");
    const batch::StoreReply reply = decodeStoreReply(request, responseOf(412, body));
    EXPECT_EQ(errorKindOf(reply.status), ErrorKind::RevisionConflict);
    ASSERT_EQ(reply.records.size(), 2U);
    EXPECT_EQ(reply.records[0].revision, 6);
    EXPECT_EQ(reply.records[1].revision, 0);
}

TEST(StoreMessage, ReadsChangesAndSkipsForeignKeys)
{
    const batch::StoreRequest request = batch::WatchCollection { Collection::Workers, 411, absl::Seconds(2) };
    EXPECT_TRUE(absl::EndsWith(
        encodeStoreRequest(request, "h:1").url, "/v1/kv-watch?pathPrefix=servers/&after=411&waitMs=2000"));
    const std::string body = absl::StrCat(R"({"events":[)", itemOf("servers/i-1", "no JSON", 412),
        R"(,{"key":"servers/i-2","revision":413,"deleted":true},{"key":"elsewhere","revision":414,"deleted":true}],)",
        R"("atRev":414})");
    const batch::StoreReply reply = decodeStoreReply(request, responseOf(200, body));
    EXPECT_EQ(reply.revision, 414);
    ASSERT_EQ(reply.records.size(), 2U);
    EXPECT_NE(std::get_if<batch::UnreadableRecord>(&reply.records[0].value), nullptr);
    EXPECT_NE(std::get_if<std::monostate>(&reply.records[1].value), nullptr);
}

TEST(StoreMessage, ReadsPages)
{
    const std::string body
        = absl::StrCat(R"({"items":[)", itemOf("servers/i-1", "{", 4), R"(],"hasMore":true,"atRev":9})");
    const RecordPage page = decodePage(responseOf(200, body));
    EXPECT_TRUE(page.hasMore);
    EXPECT_EQ(page.lastKey, "servers/i-1");
    EXPECT_TRUE(absl::EndsWith(encodePageRequest(Collection::Workers, page.lastKey, "h:1").url, "&after=servers/i-1"));
    EXPECT_FALSE(decodePage(responseOf(200, R"({"items":[{"key":3}]})")).reply.status.ok());
}

TEST(StoreMessage, RecordKeysSurviveRoundTrip)
{
    for (const batch::RecordKey& key : { batch::RecordKey { Collection::Manifest, "" }, { Collection::Workers, "i-1" },
             { Collection::Jobs, "00a1" }, { Collection::Cancellations, "00a1" }, { Collection::Progress, "00a1" },
             { Collection::QueueCounts, "" }, { Collection::Holder, "" }, { Collection::Epoch, "" } })
        EXPECT_EQ(recordKeyOf(storeKeyOf(key)), key);
    EXPECT_FALSE(recordKeyOf("op/wave/1"));
}

TEST(WorkerMessage, EncodesStartWithFenceTokenAndLeaseDeadline)
{
    batch::WorkerCall call;
    call.worker = WorkerName("i-1");
    call.address = "10.0.0.1:80";
    call.epoch = 7;
    call.leaseUntil = 486000;
    call.command = batch::StartRun { { { batch::JobId("00a1"), { 0, 1, 17 } }, 2 }, "text", "saved" };
    const HttpRequest request = encodeWorkerCall(call);
    EXPECT_EQ(request.url, "http://10.0.0.1:80/v1/run-start");
    EXPECT_EQ(request.body,
        R"({"attempt":2,"checkpoint":"saved","deadlineMs":486000,"fenceToken":7,"spec":"text","task":"00a1.0.1.17"})");
}

TEST(WorkerMessage, ReadsRunningAndEndedRuns)
{
    const batch::WorkerReply reply = decodeWorkerReply(responseOf(200,
        R"({"clockMs":482113,"born":77,"running":[["00a1.0.1.17",2,"saved",41,1000],["odd",1,"",0],[]],
            "finished":[[58,"00a1.0.1.9",1,"done",""],[59,"00a1.0.1.8",1,"vanished",""],["x"]]})"));
    ASSERT_TRUE(reply.status.ok());
    EXPECT_EQ(reply.processStartMs, 77);
    ASSERT_EQ(reply.running.size(), 1U);
    EXPECT_EQ(reply.running[0].percent, 41);
    ASSERT_EQ(reply.ended.size(), 1U);
    EXPECT_EQ(reply.ended[0].number, 58);
}

TEST(WorkerMessage, ReadsRefusalReasons)
{
    const auto refusalOf
        = [](int status, const std::string& body) { return decodeWorkerReply(responseOf(status, body)).refusal; };
    EXPECT_EQ(refusalOf(409, R"({"clockMs":1,"reason":"fence"})"), batch::WorkerRefusal::Fenced);
    EXPECT_EQ(refusalOf(409, R"({"clockMs":1,"reason":"old"})"), batch::WorkerRefusal::AlreadyEnded);
    EXPECT_EQ(refusalOf(409, R"({"clockMs":1,"reason":"late"})"), batch::WorkerRefusal::LeaseExpired);
    EXPECT_EQ(refusalOf(409, R"({"clockMs":1,"reason":"room"})"), batch::WorkerRefusal::InsufficientCapacity);
    EXPECT_EQ(refusalOf(421, ""), batch::WorkerRefusal::OtherProcess);
    EXPECT_EQ(refusalOf(503, ""), batch::WorkerRefusal::Unhealthy);
    EXPECT_EQ(refusalOf(400, ""), batch::WorkerRefusal::Malformed);
    EXPECT_FALSE(decodeWorkerReply(responseOf(200, "{")).status.ok());
}

TEST(NodeSettings, ReadsAllSettingsAndReportsEveryFault)
{
    const NodeSettingsResult good = parseNodeSettings(R"({"node":"n","dataCentre":"z","callers":"1.2.3.4:1",
        "readiness":"1.2.3.4:2","store":"1.2.3.4:3","maxWorkerLeaseMs":6000,"guaranteeBoundMs":2700,"stopGraceMs":5000,
        "processorShare":0.25,"openFiles":4100,"heartbeatMs":700})");
    EXPECT_TRUE(good.faults.empty());
    EXPECT_EQ(good.settings.maxWorkerLease, absl::Seconds(6));
    EXPECT_EQ(good.settings.guaranteeBound, absl::Milliseconds(2700));
    EXPECT_EQ(good.settings.heartbeatPeriod, absl::Milliseconds(700));
    EXPECT_EQ(good.settings.processorShare, 0.25);
    EXPECT_EQ(good.settings.openFiles, 4100);
    EXPECT_EQ(parseNodeSettings(R"({"processorShare":0})").faults.size(),
        parseNodeSettings(R"({"processorShare":1})").faults.size() + 1);
    const NodeSettingsResult bad = parseNodeSettings(R"({"node":"","callers":3,"unknown":1,"maxWorkerLeaseMs":1})");
    EXPECT_GE(bad.faults.size(), 6U);
    EXPECT_FALSE(parseNodeSettings("nothing").faults.empty());
}

} // namespace
} // namespace mangohall::platform
