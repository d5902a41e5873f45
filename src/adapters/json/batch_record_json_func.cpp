#include "adapters/json/batch_record_json_func.h"

#include <cstdint>
#include <limits>
#include <utility>

#include "adapters/json/field_reader_base.h"
#include "adapters/json/json_elements_func.h"
#include "adapters/json/json_number_func.h"
#include "adapters/json/json_text_func.h"
#include "batch/job/job_check_func.h"
#include "batch/job/phase_name_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

using nlohmann::json;

constexpr std::int64_t maxInt32 = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t maxInt64 = std::numeric_limits<std::int64_t>::max();

std::int64_t toUnixMillis(absl::Time time)
{
    return absl::ToUnixMillis(time);
}

// The duration as a number of milliseconds. A whole number is an integer, as earlier versions write it, and so is the
// largest one, which stands for an infinite duration: JSON has no number for it.
json toMillis(absl::Duration duration)
{
    const std::int64_t whole = absl::ToInt64Milliseconds(duration);
    if (absl::Milliseconds(whole) == duration || duration == absl::InfiniteDuration()
        || duration == -absl::InfiniteDuration())
        return whole;
    return absl::ToDoubleMilliseconds(duration);
}

void setUnlessEmpty(json& target, const char* field, const std::string& text)
{
    if (!text.empty())
        target[field] = text;
}

void setUnlessZero(json& target, const char* field, std::int64_t value)
{
    if (value != 0)
        target[field] = value;
}

void setUnlessZero(json& target, const char* field, absl::Duration duration)
{
    if (duration != absl::ZeroDuration())
        target[field] = toMillis(duration);
}

void setIfTrue(json& target, const char* field, bool value)
{
    if (value)
        target[field] = true;
}

json toJson(const StepSpec& step)
{
    json target = { { "tasks", step.taskCount }, { "cpuMillis", step.demand.cpuMillis },
        { "memoryBytes", step.demand.memoryBytes } };
    setUnlessZero(target, "accelerators", step.demand.accelerators);
    setUnlessZero(target, "estimateMs", step.estimate);
    if (!step.after.empty())
        target["after"] = step.after;
    setIfTrue(target, "gang", step.isGang);
    setIfTrue(target, "rackLocal", step.isRackLocal);
    setIfTrue(target, "checkpointing", step.isCheckpointing);
    setIfTrue(target, "speculative", step.isSpeculative);
    setIfTrue(target, "lasting", step.isLongRunning);
    setIfTrue(target, "filling", step.usesSpareProcessor);
    setUnlessEmpty(target, "label", step.requiredLabel->str());
    setUnlessEmpty(target, "dataRack", step.dataRack->str());
    setUnlessZero(target, "maxPerWorker", step.maxPerWorker);
    setUnlessEmpty(target, "image", step.image.get());
    setUnlessZero(target, "tailTargetMs", step.tailLatencyTarget);
    setUnlessZero(target, "allowedMissing", step.maxUnavailable);
    return target;
}

StepSpec stepFromJson(FieldReader& reader)
{
    StepSpec step;
    step.taskCount = reader.count("tasks");
    step.demand.cpuMillis = reader.integer("cpuMillis");
    step.demand.memoryBytes = reader.integer("memoryBytes");
    step.demand.accelerators = reader.count("accelerators");
    step.estimate = reader.milliseconds("estimateMs");
    step.after = reader.counts("after");
    step.isGang = reader.flag("gang");
    step.isRackLocal = reader.flag("rackLocal");
    step.isCheckpointing = reader.flag("checkpointing");
    step.isSpeculative = reader.flag("speculative");
    step.isLongRunning = reader.flag("lasting");
    step.usesSpareProcessor = reader.flag("filling");
    step.requiredLabel = WorkerLabel(reader.text("label"));
    step.dataRack = RackName(reader.text("dataRack"));
    step.maxPerWorker = reader.count("maxPerWorker");
    step.image = reader.text("image");
    step.tailLatencyTarget = reader.milliseconds("tailTargetMs");
    step.maxUnavailable = reader.count("allowedMissing");
    return step;
}

json toJson(const Job& job)
{
    json target = {
        { "id", job.id.str() },
        { "queue", job.queue.str() },
        { "service", job.service.str() },
        { "organisation", job.organisation.str() },
        { "priority", job.terms.priority },
        { "maxAttempts", job.terms.maxAttempts },
        { "stretchFactor", job.terms.stretchFactor },
        { "latencyAllowanceMs", toMillis(job.terms.latencyAllowance) },
        { "acceptedMs", toUnixMillis(job.acceptedAt) },
        { "payload", job.spec.payload },
        { "steps", json::array() },
    };
    setUnlessZero(target, "repeatCount", job.spec.repeatCount);
    if (job.spec.firstDue != absl::InfinitePast())
        target["firstDueMs"] = toMillis(job.spec.firstDue - absl::UnixEpoch());
    setUnlessZero(target, "periodMs", job.spec.period);
    for (const StepSpec& step : job.spec.steps)
        target["steps"].push_back(toJson(step));
    return target;
}

absl::StatusOr<RecordValue> jobFromJson(const json& source)
{
    FieldReader reader(source);
    Job job;
    job.id = JobId(reader.text("id"));
    job.queue = QueueName(reader.text("queue"));
    job.service = ServiceName(reader.text("service"));
    job.organisation = OrganisationName(reader.text("organisation"));
    job.terms.priority = reader.count("priority");
    job.terms.maxAttempts = reader.count("maxAttempts", 1);
    job.terms.stretchFactor = reader.number("stretchFactor", 1);
    job.terms.latencyAllowance = reader.milliseconds("latencyAllowanceMs");
    job.acceptedAt = absl::FromUnixMillis(reader.integer("acceptedMs"));
    job.spec.payload = reader.text("payload");
    job.spec.repeatCount = reader.count("repeatCount");
    if (reader.has("firstDueMs"))
        job.spec.firstDue = reader.time("firstDueMs");
    job.spec.period = reader.milliseconds("periodMs");
    absl::StatusOr<std::vector<StepSpec>> steps = readElements(reader.array("steps"), stepFromJson);
    if (!steps.ok())
        return steps.status();
    job.spec.steps = *std::move(steps);
    absl::Status status = reader.status();
    if (status.ok())
        status = checkSpec(job.spec);
    if (!status.ok())
        return status;
    return RecordValue(std::move(job));
}

// A task that was never placed is encoded as the number 0, and one that is done as a list of its phase: the most
// frequent cases, so that a record keeps the sizes of `RecordLimits`. Any other task is encoded as a list of its
// fields. The last ones are left out if they are 0, as they are in records of earlier versions.
json toJson(const TaskProgress& task)
{
    if (task == TaskProgress())
        return 0;
    if (!isOpen(task) && task.phase == TaskProgress::Phase::Done)
        return json::array({ static_cast<int>(task.phase) });
    json fields = json::array({ static_cast<int>(task.phase), task.attempt, task.failures, task.checkpoint,
        task.worker.str(), task.workerProcessStartMs });
    const std::int64_t lastFields[] = { task.lastFailedAttempt, task.lastStartedAttempt, task.mayStartAgain ? 1 : 0,
        task.earlierCommandsUntilMs, task.lapsesByMs };
    std::size_t count = std::size(lastFields);
    while (count > 0 && lastFields[count - 1] == 0)
        --count;
    for (std::size_t i = 0; i < count; ++i)
        fields.push_back(lastFields[i]);
    return fields;
}

absl::Status malformedTask()
{
    return makeError(
        ErrorKind::MalformedBody, "the progress of a task is not a list of six to eleven fields of the expected types");
}

absl::Status taskFromJson(const json& source, TaskProgress& task)
{
    if (source.is_number())
        return absl::OkStatus();
    if (source.is_array() && source.size() == 1 && source[0] == static_cast<int>(TaskProgress::Phase::Done)) {
        task.phase = TaskProgress::Phase::Done;
        return absl::OkStatus();
    }
    constexpr std::size_t minFieldCount = 6;
    constexpr std::size_t maxFieldCount = 11;
    constexpr std::size_t failedPosition = 6;
    constexpr std::size_t startedPosition = 7;
    constexpr std::size_t startsAgainPosition = 8;
    constexpr std::size_t earlierCommandsPosition = 9;
    constexpr std::size_t lapsesByPosition = 10;
    const bool hasExpectedTypes = source.is_array() && source.size() >= minFieldCount && source.size() <= maxFieldCount
        && source[3].is_string() && source[4].is_string();
    if (!hasExpectedTypes)
        return malformedTask();
    const auto optionalNumber = [&source](std::size_t position, std::int64_t max = maxInt32) {
        return position < source.size() ? integerInRange(source[position], 0, max) : 0;
    };
    const absl::optional<std::int64_t> phase = integerInRange(source[0], 0, maxInt32);
    const absl::optional<std::int64_t> attempt = integerInRange(source[1], 0, maxInt32);
    const absl::optional<std::int64_t> failures = integerInRange(source[2], 0, maxInt32);
    const absl::optional<std::int64_t> processStart = integerInRange(source[5], 0, maxInt64);
    const absl::optional<std::int64_t> lastFailedAttempt = optionalNumber(failedPosition);
    const absl::optional<std::int64_t> lastStartedAttempt = optionalNumber(startedPosition);
    const absl::optional<std::int64_t> mayStartAgain = optionalNumber(startsAgainPosition);
    const absl::optional<std::int64_t> earlierCommandsUntil = optionalNumber(earlierCommandsPosition, maxInt64);
    const absl::optional<std::int64_t> lapsesBy = optionalNumber(lapsesByPosition, maxInt64);
    if (!phase || !attempt || !failures || !processStart || !lastFailedAttempt || !lastStartedAttempt || !mayStartAgain
        || !earlierCommandsUntil || !lapsesBy)
        return malformedTask();
    if (*phase > static_cast<int>(TaskProgress::Phase::Done))
        return makeError(ErrorKind::MalformedBody, "the phase of a task is unknown");
    task.phase = static_cast<TaskProgress::Phase>(*phase);
    task.attempt = static_cast<std::int32_t>(*attempt);
    task.failures = static_cast<std::int32_t>(*failures);
    task.checkpoint = source[3].get<std::string>();
    task.worker = WorkerName(source[4].get<std::string>());
    task.workerProcessStartMs = *processStart;
    task.lastFailedAttempt = static_cast<std::int32_t>(*lastFailedAttempt);
    task.lastStartedAttempt = static_cast<std::int32_t>(*lastStartedAttempt);
    task.mayStartAgain = *mayStartAgain != 0;
    task.earlierCommandsUntilMs = *earlierCommandsUntil;
    task.lapsesByMs = *lapsesBy;
    return absl::OkStatus();
}

json toJson(const ProgressRecord& record)
{
    json target = { { "phase", std::string(phaseName(record.phase)) }, { "occurrences", json::array() } };
    if (record.endedAt != absl::InfiniteFuture())
        target["endedMs"] = toUnixMillis(record.endedAt);
    for (const OccurrenceProgress& occurrence : record.occurrences) {
        json steps = json::array();
        for (const StepProgress& step : occurrence.steps) {
            json tasks = json::array();
            for (const TaskProgress& task : step.tasks)
                tasks.push_back(toJson(task));
            steps.push_back(std::move(tasks));
        }
        target["occurrences"].push_back(std::move(steps));
    }
    return target;
}

absl::StatusOr<RecordValue> progressFromJson(const json& source)
{
    FieldReader reader(source);
    ProgressRecord record;
    if (const absl::optional<JobPhase> phase = phaseFromName(reader.text("phase")))
        record.phase = *phase;
    else
        reader.fail("phase", "is not a known phase");
    if (reader.has("endedMs"))
        record.endedAt = absl::FromUnixMillis(reader.integer("endedMs"));
    for (const json& steps : reader.array("occurrences")) {
        OccurrenceProgress occurrence;
        occurrence.number = static_cast<std::int32_t>(record.occurrences.size());
        for (const json& tasks : steps) {
            StepProgress step;
            for (const json& element : tasks) {
                TaskProgress task;
                const absl::Status status = taskFromJson(element, task);
                if (!status.ok())
                    return status;
                step.tasks.push_back(task);
            }
            occurrence.steps.push_back(std::move(step));
        }
        record.occurrences.push_back(std::move(occurrence));
    }
    if (!reader.status().ok())
        return reader.status();
    return RecordValue(std::move(record));
}

json toJson(const QueueCounts& counts)
{
    json waiting = json::object();
    for (const auto& [queue, count] : counts.waiting)
        waiting[queue.str()] = count;
    return { { "waiting", std::move(waiting) } };
}

absl::StatusOr<RecordValue> countsFromJson(const json& source)
{
    FieldReader reader(source);
    QueueCounts counts;
    const json& waiting = reader.object("waiting");
    FieldReader countReader(waiting);
    for (const auto& [queue, count] : waiting.items())
        counts.waiting[QueueName(queue)] = countReader.integer(queue);
    if (!reader.status().ok())
        return reader.status();
    if (!countReader.status().ok())
        return countReader.status();
    return RecordValue(std::move(counts));
}

json toJson(const AdmissionLimit& limit)
{
    return { { "maxJobBytes", limit.maxJobBytes }, { "maxGuaranteedJobBytes", limit.maxGuaranteedJobBytes } };
}

absl::StatusOr<RecordValue> admissionFromJson(const json& source)
{
    FieldReader reader(source);
    const AdmissionLimit limit { reader.integer("maxJobBytes"), reader.integer("maxGuaranteedJobBytes") };
    if (!reader.status().ok())
        return reader.status();
    return RecordValue(limit);
}

// Encodes a record by its type, for `std::visit`.
class RecordEncoder {
public:
    json operator()(const Job& job) const { return toJson(job); }
    json operator()(const Cancellation& cancellation) const
    {
        return { { "requestedMs", toUnixMillis(cancellation.requestedAt) } };
    }
    json operator()(const ProgressRecord& record) const { return toJson(record); }
    json operator()(const QueueCounts& counts) const { return toJson(counts); }
    json operator()(const AdmissionLimit& limit) const { return toJson(limit); }
    json operator()(const HolderRecord& holder) const
    {
        return { { "node", holder.node.str() }, { "epoch", holder.epoch }, { "share", holder.processorShare } };
    }
    json operator()(const CandidateRecord& candidate) const
    {
        return { { "node", candidate.node.str() }, { "share", candidate.processorShare },
            { "epoch", candidate.ownerEpoch } };
    }
    json operator()(const EpochRecord& epoch) const
    {
        return { { "node", epoch.node.str() }, { "epoch", epoch.epoch } };
    }
    // Nodes do not write these: other systems do, or they stand for a record that is unreadable or absent.
    json operator()(const Manifest& /*manifest*/) const { return nullptr; }
    json operator()(const Evacuation& /*evacuation*/) const { return nullptr; }
    json operator()(const WorkerEntry& /*entry*/) const { return nullptr; }
    json operator()(const UnreadableRecord& /*record*/) const { return nullptr; }
    json operator()(const std::monostate& /*absent*/) const { return nullptr; }
};

absl::StatusOr<RecordValue> ownerFromJson(Collection collection, const json& source)
{
    FieldReader reader(source);
    const NodeName node(reader.text("node"));
    const Epoch epoch = reader.integer("epoch");
    const double processorShare = reader.number("share");
    if (!reader.status().ok())
        return reader.status();
    if (collection == Collection::Candidate)
        return RecordValue(CandidateRecord { node, processorShare, epoch });
    if (collection == Collection::Holder)
        return RecordValue(HolderRecord { node, epoch, processorShare });
    return RecordValue(EpochRecord { epoch, node });
}

absl::StatusOr<RecordValue> cancellationFromJson(const json& source)
{
    FieldReader reader(source);
    const Cancellation cancellation { absl::FromUnixMillis(reader.integer("requestedMs")) };
    if (!reader.status().ok())
        return reader.status();
    return RecordValue(cancellation);
}

} // namespace

std::string encodeRecord(const RecordValue& value)
{
    return toJsonText(std::visit(RecordEncoder(), value));
}

absl::StatusOr<RecordValue> decodeRecord(Collection collection, absl::string_view bytes)
{
    const absl::StatusOr<json> parsed = parseJson(bytes);
    if (!parsed.ok())
        return parsed.status();
    switch (collection) {
    case Collection::Jobs:
        return jobFromJson(*parsed);
    case Collection::Cancellations:
        return cancellationFromJson(*parsed);
    case Collection::Progress:
        return progressFromJson(*parsed);
    case Collection::QueueCounts:
        return countsFromJson(*parsed);
    case Collection::Admission:
        return admissionFromJson(*parsed);
    case Collection::Holder:
    case Collection::Epoch:
    case Collection::Candidate:
        return ownerFromJson(collection, *parsed);
    case Collection::Manifest:
    case Collection::Evacuations:
    case Collection::Workers:
        break;
    }
    return makeError(ErrorKind::Internal, "records of this collection are not written by nodes");
}

} // namespace mangohall::batch
