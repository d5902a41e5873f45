#include "batch/caller/caller_part_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "batch/job/job_check_func.h"
#include "batch/job/job_footprint_func.h"
#include "batch/job/phase_name_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr std::int32_t urgentPriority = 0;
// The number of hexadecimal digits of a job id.
constexpr std::size_t jobIdLength = 16;
constexpr std::size_t maxLoggedIdLength = 64;
// The part of a caller's time that is left for the answer to reach it.
constexpr absl::Duration answerMargin = absl::Milliseconds(300);
constexpr absl::Duration readTimeout = absl::Milliseconds(700);
constexpr absl::Duration readRetryPeriod = absl::Milliseconds(80);
// The largest number of open reads. A record takes up to the largest value of the store, and several times that while
// it is decoded.
constexpr std::size_t maxOpenReads = 8;
// The largest number of attempts of a read that the store refuses. After that the caller may retry at another node,
// which the store may still serve.
constexpr int maxReadAttempts = 4;
// When the caller may retry after an error that another node may not return, or this node a moment later.
constexpr absl::Duration retryAfterRefusal = absl::Seconds(1);

// The job that a path names, for the log also if it is none; what is longer than a job's id is cut.
JobId jobNamedBy(absl::string_view text)
{
    return JobId(text.substr(0, maxLoggedIdLength));
}

bool isJobId(absl::string_view text)
{
    return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), absl::ascii_isxdigit);
}

// The error for a read without an answer, or a write whose outcome is unknown.
absl::Status storeTimeoutError()
{
    return makeError(ErrorKind::OutcomeUnknown, "the store has not answered in time");
}

absl::Status noRoomError()
{
    return makeError(ErrorKind::QueueFull, "too many jobs wait for a job of this size; it was not accepted");
}

DecisionEffect::Kind decisionKindOf(bool isRefused, CallerVerb verb)
{
    if (isRefused)
        return DecisionEffect::Kind::Refused;
    switch (verb) {
    case CallerVerb::Submit:
        return DecisionEffect::Kind::Submitted;
    case CallerVerb::Cancel:
        return DecisionEffect::Kind::Cancelled;
    case CallerVerb::Query:
        break;
    }
    return DecisionEffect::Kind::Queried;
}

// The number of waiting jobs of the queue; 0 if the owner has not written a count yet.
std::int64_t waitingJobCount(const RecordValue& value, const QueueName& queue)
{
    const auto* counts = std::get_if<QueueCounts>(&value);
    if (counts == nullptr)
        return 0;
    const auto found = counts->waiting.find(queue);
    return found == counts->waiting.end() ? 0 : found->second;
}

} // namespace

CallerPart::CallerPart(const NodeSettings& settings)
    : m_settings(settings)
{
}

Effects CallerPart::handle(const Event& event, absl::Time now)
{
    absl::MutexLock lock(&m_mutex);
    if (const auto* caller = std::get_if<CallerEvent>(&event)) {
        handleCallerRequest(*caller, now);
    } else if (const auto* store = std::get_if<StoreEvent>(&event)) {
        handleStoreReply(*store, now);
    } else if (const auto* routes = std::get_if<RoutesEvent>(&event)) {
        m_routes = routes->routes;
        m_routesConfirmedAt = std::max(m_routesConfirmedAt, routes->confirmedAt);
    }
    retryReads(now);
    startWaitingReads(now);
    for (const CreateResult& result : m_writer.advance(m_outbox, now))
        handleCreateResult(result, now);
    m_outbox.add(WakeAtEffect { nextDue(now) });
    return m_outbox.take();
}

absl::Time CallerPart::nextDue(absl::Time now) const
{
    absl::Time due = m_writer.nextDue();
    for (const OpenCall& call : m_readsToRetry)
        due = std::min(due, call.retryAt);
    if (!m_waitingReads.empty())
        due = std::min(due, m_waitingReads.front().deadline);
    return std::max(due, now);
}

void CallerPart::handleCallerRequest(const CallerEvent& event, absl::Time now)
{
    const CallerRequest& request = event.request;
    OpenCall call;
    call.caller = event.caller;
    call.receivedAt = now;
    // Set early, so that requests that match no queue are logged with their job too.
    call.job = jobNamedBy(absl::string_view(request.path).substr(request.path.rfind('/') + 1));
    call.deadline = std::max(request.deadline - answerMargin, now + readRetryPeriod);
    call.stage = request.verb == CallerVerb::Submit ? OpenCall::Stage::Submitting
        : request.verb == CallerVerb::Cancel        ? OpenCall::Stage::Cancelling
                                                    : OpenCall::Stage::ReadingProgress;
    if (const absl::Status status = checkRoutes(request, now); !status.ok()) {
        refuse(call, status, now);
        return;
    }
    const QueueSpec& queue = *m_routes->match(request.host, request.path);
    call.queue = queue.name;
    if (const absl::Status status = checkApiKey(request, queue, call.organisation); !status.ok()) {
        refuse(call, status, now);
        return;
    }
    call.job = jobNamedBy(absl::string_view(request.path).substr(queue.pathPrefix.size()));
    if (call.job.empty() && request.verb == CallerVerb::Query) {
        call.stage = OpenCall::Stage::ReadingCounts;
        read(std::move(call));
        return;
    }
    if (!isJobId(call.job.text())) {
        refuse(
            call, makeError(ErrorKind::NotFound, "the path does not end with a job id of 16 hexadecimal digits"), now);
        return;
    }
    if (request.verb == CallerVerb::Submit)
        submit(std::move(call), request, queue, now);
    else if (request.verb == CallerVerb::Cancel)
        cancel(std::move(call), now);
    else
        read(std::move(call));
}

absl::Status CallerPart::checkRoutes(const CallerRequest& request, absl::Time now) const
{
    if (m_routes == nullptr)
        return makeError(ErrorKind::ManifestStale, "no manifest has been read yet");
    // With an older manifest, a key or a queue may have been removed without this node knowing.
    const absl::Duration age = now - m_routesConfirmedAt;
    if (age > m_settings.maxManifestAge)
        return makeError(ErrorKind::ManifestStale,
            absl::StrCat("the manifest was last confirmed ", absl::ToInt64Milliseconds(age), " ms ago"));
    if (m_routes->match(request.host, request.path) == nullptr)
        return makeError(ErrorKind::NotFound, "no queue matches this host and path");
    return absl::OkStatus();
}

absl::Status CallerPart::checkApiKey(
    const CallerRequest& request, const QueueSpec& queue, OrganisationName& organisation) const
{
    const absl::optional<OrganisationName> found = m_routes->organisationOf(request.apiKey);
    if (found)
        organisation = *found;
    if (found || queue.isPublic)
        return absl::OkStatus();
    return makeError(ErrorKind::Unauthenticated, "the API key belongs to no organisation");
}

void CallerPart::submit(OpenCall call, const CallerRequest& request, const QueueSpec& queue, absl::Time now)
{
    if (!request.spec.ok()) {
        refuse(call, request.spec.status(), now);
        return;
    }
    if (const absl::Status status = checkRecordSizes(*request.spec, m_settings.recordLimits); !status.ok()) {
        refuse(call, status, now);
        return;
    }
    Job job;
    job.id = call.job;
    job.queue = queue.name;
    job.terms = queue.terms;
    job.service = queue.service;
    job.organisation = call.organisation;
    job.spec = *request.spec;
    job.acceptedAt = now;
    const std::int64_t footprint = jobFootprint(job.spec);
    const bool isGuaranteed
        = queue.terms.priority == urgentPriority && m_routes->guaranteedAccelerators(call.organisation) > 0;
    // A job that is being written may exist in a moment.
    if (m_writer.isKnownToLackRoom(footprint, isGuaranteed, now) && !isBeingWritten(call.job)) {
        call.stage = OpenCall::Stage::ReadingRefusedJob;
        read(std::move(call));
        return;
    }
    CreateRecord record { call.caller, { Collection::Jobs, call.job.str() }, std::move(job), call.deadline, footprint,
        isGuaranteed };
    m_writer.add(std::move(record));
    m_openWrites.emplace(call.caller, std::move(call));
}

bool CallerPart::isBeingWritten(const JobId& job) const
{
    return std::any_of(
        m_openWrites.begin(), m_openWrites.end(), [&job](const auto& open) { return open.second.job == job; });
}

void CallerPart::cancel(OpenCall call, absl::Time now)
{
    CreateRecord record { call.caller, { Collection::Cancellations, call.job.str() }, Cancellation { now },
        call.deadline };
    m_writer.add(std::move(record));
    m_openWrites.emplace(call.caller, std::move(call));
}

void CallerPart::startWaitingReads(absl::Time now)
{
    while (!m_waitingReads.empty()) {
        OpenCall& first = m_waitingReads.front();
        if (first.deadline > now && m_openReads.size() >= maxOpenReads)
            return;
        OpenCall call = std::move(first);
        m_waitingReads.pop_front();
        if (call.deadline > now)
            read(std::move(call));
        else
            refuse(call, storeTimeoutError(), now);
    }
}

void CallerPart::read(OpenCall call)
{
    if (m_openReads.size() >= maxOpenReads) {
        m_waitingReads.push_back(std::move(call));
        return;
    }
    RecordKey key { Collection::Progress, call.job.str() };
    const bool readsJob = call.stage == OpenCall::Stage::ReadingJob
        || call.stage == OpenCall::Stage::ReadingCancelledJob || call.stage == OpenCall::Stage::ReadingRefusedJob;
    if (readsJob)
        key.collection = Collection::Jobs;
    else if (call.stage == OpenCall::Stage::ReadingCounts)
        key = { Collection::QueueCounts, "" };
    ++call.readAttempts;
    call.retryAt = absl::InfiniteFuture();
    const CallId number = m_outbox.toStore(ReadRecord { std::move(key) }, readTimeout);
    m_openReads.emplace(number, std::move(call));
}

void CallerPart::handleStoreReply(const StoreEvent& event, absl::Time now)
{
    if (m_writer.ownsCall(event.call)) {
        for (const CreateResult& result : m_writer.handleReply(event.call, event.reply, now))
            handleCreateResult(result, now);
        return;
    }
    const auto found = m_openReads.find(event.call);
    if (found == m_openReads.end())
        return;
    OpenCall call = std::move(found->second);
    m_openReads.erase(found);
    handleReadReply(std::move(call), event.reply, now);
}

void CallerPart::handleReadReply(OpenCall call, const StoreReply& reply, absl::Time now)
{
    const ErrorKind kind = errorKindOf(reply.status);
    const bool isAbsent = kind == ErrorKind::NotFound;
    if (!reply.status.ok() && !isAbsent) {
        handleReadFailure(std::move(call), reply.status, now);
        return;
    }
    const RecordValue absent;
    const RecordValue& value = isAbsent || reply.records.empty() ? absent : reply.records.front().value;
    if (call.stage == OpenCall::Stage::ReadingCounts) {
        answer(call, QueueCountAnswer { waitingJobCount(value, call.queue) }, "counted", now);
        return;
    }
    if (const auto* progress = std::get_if<ProgressRecord>(&value)) {
        answer(call, JobStateAnswer { progress->phase }, phaseName(progress->phase), now);
        return;
    }
    if (call.stage == OpenCall::Stage::ReadingProgress) {
        // Either the owner has not written any progress yet, or the job does not exist.
        call.stage = OpenCall::Stage::ReadingJob;
        read(std::move(call));
        return;
    }
    if (call.stage == OpenCall::Stage::ReadingRefusedJob) {
        if (std::holds_alternative<Job>(value))
            answer(call, DoneAnswer(), "known", now);
        else
            refuse(call, noRoomError(), now);
        return;
    }
    if (!std::holds_alternative<Job>(value)) {
        refuse(call, makeError(ErrorKind::NoSuchJob, "no job with this id has been accepted"), now);
        return;
    }
    if (call.stage == OpenCall::Stage::ReadingCancelledJob)
        answer(call, DoneAnswer(), "cancelled", now);
    else
        answer(call, JobStateAnswer { JobPhase::Pending }, "pending", now);
}

void CallerPart::handleReadFailure(OpenCall call, const absl::Status& status, absl::Time now)
{
    call.retryAt = now + readRetryPeriod;
    if (call.readAttempts >= maxReadAttempts || call.retryAt >= call.deadline) {
        refuse(call, errorKindOf(status) == ErrorKind::StoreRefused ? status : storeTimeoutError(), now);
        return;
    }
    m_readsToRetry.push_back(std::move(call));
}

void CallerPart::retryReads(absl::Time now)
{
    std::vector<OpenCall> waiting = std::exchange(m_readsToRetry, {});
    for (OpenCall& call : waiting) {
        if (call.retryAt <= now)
            read(std::move(call));
        else
            m_readsToRetry.push_back(std::move(call));
    }
}

void CallerPart::handleCreateResult(const CreateResult& result, absl::Time now)
{
    const auto found = m_openWrites.find(result.caller);
    if (found == m_openWrites.end())
        return;
    OpenCall call = std::move(found->second);
    m_openWrites.erase(found);
    switch (result.outcome) {
    case CreateResult::Outcome::NotWritten:
        refuse(call, makeError(ErrorKind::StoreRefused, "the store takes nothing from this node now"), now);
        return;
    case CreateResult::Outcome::NoRoom:
        refuse(call, noRoomError(), now);
        return;
    case CreateResult::Outcome::Unknown:
        refuse(call, storeTimeoutError(), now);
        return;
    case CreateResult::Outcome::Created:
    case CreateResult::Outcome::Existed:
        break;
    }
    if (call.stage == OpenCall::Stage::Cancelling) {
        call.stage = OpenCall::Stage::ReadingCancelledJob;
        read(std::move(call));
        return;
    }
    const bool isNew = result.outcome == CreateResult::Outcome::Created;
    answer(call, DoneAnswer(), isNew ? "accepted" : "known", now);
}

void CallerPart::answer(const OpenCall& call, const CallerAnswer& answer, absl::string_view outcome, absl::Time now)
{
    const auto* refusal = std::get_if<RefusalAnswer>(&answer);
    const bool isSubmission
        = call.stage == OpenCall::Stage::Submitting || call.stage == OpenCall::Stage::ReadingRefusedJob;
    const CallerVerb verb = isSubmission ? CallerVerb::Submit
        : call.stage == OpenCall::Stage::Cancelling || call.stage == OpenCall::Stage::ReadingCancelledJob
        ? CallerVerb::Cancel
        : CallerVerb::Query;
    DecisionEffect decision;
    decision.kind = decisionKindOf(refusal != nullptr, verb);
    decision.job = call.job.str();
    decision.queue = call.queue.str();
    decision.organisation = call.organisation.str();
    decision.outcome = std::string(outcome);
    if (refusal != nullptr)
        decision.reason = std::string(refusal->status.message());
    decision.version = m_routes == nullptr ? 0 : m_routes->manifest().version;
    decision.age = now - call.receivedAt;
    m_outbox.log(std::move(decision));
    m_outbox.answer(call.caller, answer);
}

void CallerPart::refuse(const OpenCall& call, const absl::Status& status, absl::Time now)
{
    const ErrorRow& row = errorRow(errorKindOf(status));
    const absl::Duration retryAfter = row.isRetryable ? retryAfterRefusal : absl::ZeroDuration();
    answer(call, RefusalAnswer { status, retryAfter }, row.name, now);
}

} // namespace mangohall::batch
