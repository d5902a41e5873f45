// Handles the requests of entries: submit, cancel and query.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "core/time_const.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// A listener is dropped after this time; entries repeat their requests more often than that.
constexpr absl::Duration listenerLifetime = absl::Seconds(60);
// When more than twice this number of refused requests are remembered, this number of the oldest is dropped.
constexpr std::size_t maxRefusedRequests = 10000;
// New jobs are accepted while the records of the bucket stay below this size. The store accepts twice this size, which
// leaves space for results.
constexpr std::size_t maxBucketBytes = 512ULL * 1024;

// The status that refuses a request.
JobStatus refusal(const JobKey& key, absl::string_view request, ErrorKind kind, absl::string_view message)
{
    JobStatus status;
    status.key = key;
    status.request = std::string(request);
    status.refusal = kind;
    status.message = std::string(message);
    return status;
}

} // namespace

void JobLedger::submit(const NodeName& entry, const SubmitJob& request, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    const auto found = m_jobs.find(request.key);
    if (found != m_jobs.end()) {
        // A record without a service blocks a key that was cancelled before its submission arrived.
        const bool isKeyBlocked = found->second.record.spec.service.empty();
        if (!isKeyBlocked && !(found->second.record.spec == request.spec)) {
            refuseOnceConfirmed(entry,
                refusal(request.key, request.request, ErrorKind::KeyReused,
                    "the request key was used before with another body"),
                now);
            return;
        }
        addListener(found->second, entry, request.request, now);
        return;
    }
    if (m_isClosing)
        return;
    const absl::Status status = testAccept(request);
    if (!status.ok()) {
        refuse(entry, request, status, now);
        return;
    }
    LedgerJob& job = accept(request.key, request.spec, now);
    addListener(job, entry, request.request, now);
    drive(job, now);
    writeChangedBuckets(now);
}

absl::Status JobLedger::testAccept(const SubmitJob& request) const
{
    const auto refused = m_refusedRequests.find(request.request);
    if (refused != m_refusedRequests.end())
        return makeError(refused->second, "this request was already refused");
    if (absl::Status status = checkJobSpec(request.spec); !status.ok())
        return status;
    if (m_buckets[bucketIndex(request.key)].bytes + request.spec.payload.size() > maxBucketBytes)
        return makeError(ErrorKind::QueueFull, "the ledger has no space left for the job's record");
    const auto organisation = m_directory->organisations.find(request.key.organisation);
    if (organisation == m_directory->organisations.end())
        return makeError(ErrorKind::UnknownOrganisation, request.key.organisation.text());
    const auto queued = m_queuedByOrganisation.find(request.key.organisation);
    const int limit = std::max(1, organisation->second.maxQueuedJobs);
    if (queued != m_queuedByOrganisation.end() && queued->second >= limit)
        return makeError(ErrorKind::QueueFull,
            absl::StrCat("the organisation has reached its limit of ", limit, " queued jobs in this shard"));
    return absl::OkStatus();
}

void JobLedger::refuse(const NodeName& entry, const SubmitJob& request, const absl::Status& reason, absl::Time now)
{
    // The refusal promises the caller that the job does not run, so a late repetition must never be accepted.
    const ErrorKind kind = errorKindOf(reason);
    if (m_refusedRequests.emplace(request.request, kind).second)
        m_refusedOrder.push_back(request.request);
    if (m_refusedOrder.size() > 2 * maxRefusedRequests) {
        for (std::size_t i = 0; i < maxRefusedRequests; ++i)
            m_refusedRequests.erase(m_refusedOrder[i]);
        m_refusedOrder.erase(m_refusedOrder.begin(), m_refusedOrder.begin() + maxRefusedRequests);
    }
    refuseOnceConfirmed(entry, refusal(request.key, request.request, kind, reason.message()), now);
}

// Sends the refusal only after a further write of the bucket has succeeded. If the shard has a new owner, its fence
// makes that write fail, so that a replaced owner never refuses a job that its successor may have accepted.
void JobLedger::refuseOnceConfirmed(const NodeName& entry, JobStatus status, absl::Time now)
{
    BucketState& bucket = m_buckets[bucketIndex(status.key)];
    const bool isPending = std::any_of(bucket.refusals.begin(), bucket.refusals.end(),
        [&status](const PendingRefusal& pending) { return pending.status.request == status.request; });
    if (isPending)
        return;
    bucket.changedVersion = ++m_changeCount;
    bucket.refusals.push_back({ entry, std::move(status), bucket.changedVersion });
    writeChangedBuckets(now);
}

void JobLedger::sendConfirmedRefusals(BucketState& bucket)
{
    for (const PendingRefusal& pending : bucket.refusals) {
        if (pending.version <= bucket.durableVersion)
            m_outbox.toNode(pending.entry, pending.status);
    }
    std::erase_if(
        bucket.refusals, [&bucket](const PendingRefusal& pending) { return pending.version <= bucket.durableVersion; });
}

LedgerJob& JobLedger::accept(const JobKey& key, const JobSpec& spec, absl::Time now)
{
    LedgerJob& job = m_jobs[key];
    job.record.key = key;
    job.record.spec = spec;
    job.record.acceptedAt = now;
    ++m_queuedByOrganisation[key.organisation];
    markChanged(job);
    m_buckets[bucketIndex(key)].bytes += recordBytes(job.record);
    return job;
}

void JobLedger::addListener(LedgerJob& job, const NodeName& entry, absl::string_view request, absl::Time now)
{
    const bool isOver = job.record.phase == JobPhase::Ended && isDurable(job);
    if (isOver) {
        sendStatus(job, { entry, std::string(request), now });
        return;
    }
    std::erase_if(job.listeners, [now](const Listener& listener) { return listener.until < now; });
    const absl::Time until = now + listenerLifetime;
    const auto known = std::find_if(job.listeners.begin(), job.listeners.end(),
        [&](const Listener& listener) { return listener.request == request && listener.entry == entry; });
    const Listener listener { entry, std::string(request), until };
    if (known != job.listeners.end())
        *known = listener;
    else
        job.listeners.push_back(listener);
    if (isDurable(job))
        sendStatus(job, listener);
}

void JobLedger::sendStatus(const LedgerJob& job, const Listener& listener)
{
    JobStatus status;
    status.key = job.record.key;
    status.request = listener.request;
    status.message = job.record.message;
    status.phase = job.record.phase;
    status.outcome = job.record.outcome;
    status.attempt = job.record.attempt;
    status.acceptedAt = job.record.acceptedAt;
    status.releasedAt = job.record.releasedAt;
    status.endedAt = job.record.endedAt;
    status.results = job.record.results;
    m_outbox.toNode(listener.entry, std::move(status));
}

void JobLedger::notifyListeners(LedgerJob& job)
{
    for (const Listener& listener : job.listeners)
        sendStatus(job, listener);
    if (job.record.phase == JobPhase::Ended)
        job.listeners.clear();
}

void JobLedger::query(const NodeName& entry, const QueryJob& request, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    const auto found = m_jobs.find(request.key);
    if (found == m_jobs.end()) {
        refuseOnceConfirmed(
            entry, refusal(request.key, request.request, ErrorKind::UnknownJob, "no job with this request key"), now);
        return;
    }
    addListener(found->second, entry, request.request, now);
}

void JobLedger::cancel(const NodeName& entry, const CancelJob& request, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    const auto found = m_jobs.find(request.key);
    const bool isKnown = found != m_jobs.end();
    if (!isKnown && m_isClosing)
        return;
    // An unknown key gets a record without a service, which blocks a submission that is still in transit.
    LedgerJob& job = isKnown ? found->second : accept(request.key, JobSpec(), now);
    // The request is recorded before the listener is added, so that the entry is sent no status without it. The entry
    // repeats the cancellation until it is sent one.
    requestCancel(job, now);
    addListener(job, entry, request.request, now);
    writeChangedBuckets(now);
}

void JobLedger::requestCancel(LedgerJob& job, absl::Time now)
{
    if (job.record.phase == JobPhase::Ended || job.record.isCancelRequested)
        return;
    job.record.isCancelRequested = true;
    if (job.record.phase == JobPhase::Queued) {
        // No task is started before a claim is durable, and a queued job has no claim.
        for (const AttemptPart& part : job.parts)
            abortPart(job, part);
        endJob(job, ErrorKind::CancelledBeforeRun, "cancelled while it was waiting", now);
        return;
    }
    // The tasks are stopped once the request is durable, so that a new owner knows why they were stopped.
    markChanged(job);
}

} // namespace mangohall
