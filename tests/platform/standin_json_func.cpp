#include "platform/standin_json_func.h"

#include <map>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "adapters/json/batch_record_json_func.h"
#include "adapters/json/field_reader_base.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "platform/store_key_func.h"
#include "platform/worker_message_func.h"

namespace mangohall::platform {

namespace {

using nlohmann::json;

// The largest page of a range.
constexpr std::size_t maxPageItems = 500;
constexpr std::size_t maxPageBytes = std::size_t { 1 } << 20U;

json toJson(const batch::Manifest& manifest)
{
    json target = { { "version", manifest.version }, { "routes", json::array() }, { "tenants", json::array() },
        { "limits", { { "maxBodyBytes", manifest.maxBodyBytes } } } };
    for (const batch::QueueSpec& queue : manifest.queues)
        target["routes"].push_back(
            { { "name", queue.name.str() }, { "host", queue.host }, { "pathPrefix", queue.pathPrefix },
                { "service", queue.service.str() }, { "priority", queue.terms.priority },
                { "maxAttempts", queue.terms.maxAttempts }, { "stretchFactor", queue.terms.stretchFactor },
                { "targetLatencyMs", absl::ToInt64Milliseconds(queue.terms.latencyAllowance) },
                { "public", queue.isPublic } });
    for (const batch::OrganisationSpec& organisation : manifest.organisations)
        target["tenants"].push_back({ { "name", organisation.name.str() }, { "apiKeys", organisation.apiKeys },
            { "guaranteed", { { "gpu", organisation.guaranteedAccelerators } } } });
    return target;
}

json toJson(const batch::WorkerEntry& entry)
{
    json labels = json::array();
    for (const batch::WorkerLabel& label : entry.labels)
        labels.push_back(label.str());
    return { { "service", entry.service.str() }, { "address", entry.address }, { "zone", entry.dataCentre.str() },
        { "state", entry.isDraining ? "draining" : "ready" }, { "born", entry.processStartMs }, { "labels", labels },
        { "capacity",
            { { "cpu", entry.capacity.cpuMillis }, { "memMb", entry.capacity.memoryBytes >> 20U },
                { "gpu", entry.capacity.accelerators } } } };
}

std::string valueOf(const batch::RecordValue& value)
{
    if (const auto* manifest = std::get_if<batch::Manifest>(&value))
        return toJsonText(toJson(*manifest));
    if (const auto* entry = std::get_if<batch::WorkerEntry>(&value))
        return toJsonText(toJson(*entry));
    // Holds the bytes of another writer.
    if (const auto* unreadable = std::get_if<batch::UnreadableRecord>(&value))
        return unreadable->reason;
    return batch::encodeRecord(value);
}

json itemOf(const batch::Record& record)
{
    json item = { { "key", storeKeyOf(record.key) }, { "revision", record.revision } };
    if (std::holds_alternative<std::monostate>(record.value))
        item["deleted"] = true;
    else
        item["value"] = absl::Base64Escape(valueOf(record.value));
    return item;
}

absl::Status malformed(absl::string_view message)
{
    return makeError(ErrorKind::MalformedBody, message);
}

absl::StatusOr<batch::Collection> collectionOf(absl::string_view prefix)
{
    for (const batch::Collection collection :
        { batch::Collection::Manifest, batch::Collection::Workers, batch::Collection::Jobs, batch::Collection::Progress,
            batch::Collection::QueueCounts, batch::Collection::Holder }) {
        if (storePrefixOf(collection) == prefix)
            return collection;
    }
    return malformed("no collection has this key prefix");
}

absl::StatusOr<batch::StoreRequest> watchOf(const ServedRequest& request)
{
    const absl::StatusOr<batch::Collection> collection = collectionOf(request.argument("pathPrefix"));
    if (!collection.ok())
        return collection.status();
    batch::WatchCollection watch { *collection, 0, {} };
    std::int64_t waitMs = 0;
    if (!absl::SimpleAtoi(request.argument("after"), &watch.after)
        || !absl::SimpleAtoi(request.argument("waitMs"), &waitMs))
        return malformed("after and waitMs must be integers");
    watch.wait = absl::Milliseconds(waitMs);
    return batch::StoreRequest(watch);
}

absl::StatusOr<batch::StoreRequest> commitOf(const json& body)
{
    batch::CommitRecords commit;
    FieldReader reader(body);
    for (const json& row : reader.array("expectedRev")) {
        const absl::optional<batch::RecordKey> key = recordKeyOf(FieldReader(row).text("key"));
        if (!key)
            return malformed("expectedRev has an unknown key");
        commit.expected.push_back({ *key, FieldReader(row).integer("revision") });
    }
    for (const json& row : reader.array("write")) {
        FieldReader fields(row);
        const absl::optional<batch::RecordKey> key = recordKeyOf(fields.text("key"));
        std::string bytes;
        if (!key || !absl::Base64Unescape(fields.text("value"), &bytes))
            return malformed("write needs a known key and a base64 value");
        absl::StatusOr<batch::RecordValue> value = batch::decodeRecord(key->collection, bytes);
        if (!value.ok())
            return value.status();
        commit.writes.push_back({ *key, *std::move(value), fields.integer("leaseId") });
    }
    for (const json& row : reader.array("remove")) {
        const absl::optional<batch::RecordKey> key = recordKeyOf(row.get<std::string>());
        if (!key)
            return malformed("remove has an unknown key");
        commit.removals.push_back(*key);
    }
    return batch::StoreRequest(std::move(commit));
}

absl::StatusOr<batch::StoreRequest> leaseCallOf(const ServedRequest& request)
{
    absl::string_view rest = request.path;
    std::int64_t lease = 0;
    if (absl::ConsumePrefix(&rest, "/v1/kv-keep/") && absl::SimpleAtoi(rest, &lease))
        return batch::StoreRequest(batch::RenewLease { lease });
    if (absl::ConsumePrefix(&rest, "/v1/kv-lease-end/") && absl::SimpleAtoi(rest, &lease))
        return batch::StoreRequest(batch::RevokeLease { lease });
    return malformed("unknown path or malformed lease id");
}

int statusOf(const absl::Status& status)
{
    switch (errorKindOf(status)) {
    case ErrorKind::None:
        return 200;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::WatchExpired:
        return 410;
    case ErrorKind::RevisionConflict:
        return 412;
    case ErrorKind::StoreRefused:
        return 503;
    default:
        return 500;
    }
}

absl::string_view endName(batch::RunEnd end)
{
    switch (end) {
    case batch::RunEnd::Done:
        return "done";
    case batch::RunEnd::Failed:
        return "failed";
    case batch::RunEnd::Stopped:
        return "stopped";
    case batch::RunEnd::GangBroken:
        return "broken";
    case batch::RunEnd::GangIncomplete:
        return "alone";
    default:
        return "lapsed";
    }
}

absl::string_view reasonOf(batch::WorkerRefusal refusal)
{
    switch (refusal) {
    case batch::WorkerRefusal::Fenced:
        return "fence";
    case batch::WorkerRefusal::AlreadyEnded:
        return "old";
    case batch::WorkerRefusal::LeaseExpired:
        return "late";
    default:
        return "room";
    }
}

} // namespace

absl::StatusOr<batch::StoreRequest> storeRequestOf(const ServedRequest& request)
{
    if (request.path == "/v1/kv-key") {
        const absl::optional<batch::RecordKey> key = recordKeyOf(request.argument("key"));
        if (!key)
            return malformed("unknown key");
        return batch::StoreRequest(batch::ReadRecord { *key });
    }
    if (request.path == "/v1/kv-range") {
        const absl::StatusOr<batch::Collection> collection = collectionOf(request.argument("pathPrefix"));
        if (!collection.ok())
            return collection.status();
        return batch::StoreRequest(batch::ReadCollection { *collection });
    }
    if (request.path == "/v1/kv-watch")
        return watchOf(request);
    if (request.path != "/v1/kv-txn" && request.path != "/v1/kv-lease")
        return leaseCallOf(request);
    const absl::StatusOr<json> body = parseJson(request.body);
    if (!body.ok())
        return body.status();
    if (request.path == "/v1/kv-txn")
        return commitOf(*body);
    return batch::StoreRequest(batch::GrantLease { FieldReader(*body).milliseconds("ttlMs") });
}

HttpResponse storePageOf(const batch::StoreReply& reply, const std::string& afterKey)
{
    std::map<std::string, const batch::Record*> rest;
    for (const batch::Record& record : reply.records) {
        const std::string key = storeKeyOf(record.key);
        if (key > afterKey)
            rest.emplace(key, &record);
    }
    json body = { { "atRev", reply.revision }, { "items", json::array() } };
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto& [key, record] : rest) {
        if (count == maxPageItems || (count > 0 && bytes >= maxPageBytes))
            break;
        json item = itemOf(*record);
        bytes += item.value("value", std::string()).size();
        body["items"].push_back(std::move(item));
        ++count;
    }
    body["hasMore"] = count < rest.size();
    HttpResponse response;
    response.status = statusOf(reply.status);
    response.body = toJsonText(body);
    return response;
}

HttpResponse storeResponseOf(const batch::StoreRequest& request, const batch::StoreReply& reply)
{
    HttpResponse response;
    response.status = statusOf(reply.status);
    json body = { { "atRev", reply.revision }, { "leaseId", reply.lease } };
    if (std::holds_alternative<batch::CommitRecords>(request))
        body = { { "revision", reply.revision } };
    if (std::holds_alternative<batch::ReadRecord>(request) && !reply.records.empty()) {
        body.update(itemOf(reply.records.front()));
    } else if (!reply.records.empty()) {
        const char* field = std::holds_alternative<batch::WatchCollection>(request) ? "events" : "items";
        for (const batch::Record& record : reply.records) {
            // The response to a conflict lists only the records that exist.
            if (record.revision != 0)
                body[field].push_back(itemOf(record));
        }
    }
    response.body = toJsonText(body);
    return response;
}

absl::StatusOr<batch::WorkerCall> workerCallOf(const std::string& worker, const ServedRequest& request)
{
    const absl::StatusOr<json> body = parseJson(request.body);
    if (!body.ok())
        return body.status();
    FieldReader reader(*body);
    batch::WorkerCall call;
    call.worker = WorkerName(worker);
    call.epoch = reader.integer("fenceToken");
    call.leaseUntil = reader.integer("deadlineMs");
    call.timeout = absl::Seconds(30);
    if (request.path == "/v1/hold") {
        call.command = batch::PollRuns { reader.integer("ackSeq"), reader.milliseconds("waitMs") };
        return call;
    }
    const absl::optional<batch::TaskKey> task = taskFromName(reader.text("task"));
    if (!task)
        return malformed("malformed task name");
    const batch::RunKey run { *task, reader.count("attempt") };
    if (request.path == "/v1/run-start")
        call.command = batch::StartRun { run, reader.text("spec"), reader.text("checkpoint") };
    else
        call.command = batch::StopRun { run };
    return call;
}

HttpResponse workerResponseOf(const batch::WorkerReply& reply)
{
    json body = { { "clockMs", reply.clock }, { "born", reply.processStartMs }, { "running", json::array() },
        { "finished", json::array() } };
    for (const batch::RunningRow& row : reply.running)
        body["running"].push_back({ taskName(row.run.task), row.run.attempt, row.checkpoint, row.percent, 0 });
    for (const batch::EndedRow& row : reply.ended)
        body["finished"].push_back(
            { row.number, taskName(row.run.task), row.run.attempt, std::string(endName(row.end)), row.checkpoint });
    HttpResponse response;
    response.status = 200;
    if (reply.refusal == batch::WorkerRefusal::Unhealthy) {
        response.status = 503;
    } else if (reply.refusal != batch::WorkerRefusal::None) {
        response.status = 409;
        body["reason"] = std::string(reasonOf(reply.refusal));
    }
    response.body = toJsonText(body);
    return response;
}

} // namespace mangohall::platform
