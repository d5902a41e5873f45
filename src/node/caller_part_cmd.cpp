#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/backoff_func.h"
#include "core/error_func.h"
#include "core/time_const.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"
#include "node/caller_part_base.h"
#include "node/outbox_func.h"

namespace mangohall {

namespace {

// How long a request is repeated if its home shard does not answer. The caller is then told that the outcome is
// unknown.
constexpr absl::Duration acknowledgeTimeout = absl::Seconds(10);
// The longest delay before an unanswered request is repeated.
constexpr absl::Duration maxRetry = absl::Seconds(2);
// How often a request is repeated after it was answered, so that the home shard keeps it as a listener. It has to be
// well below the lifetime of listeners there.
constexpr absl::Duration listenRenewPeriod = absl::Seconds(5);

} // namespace

CallerPart::CallerPart(const NodeSettings& settings, PartIndex index, std::size_t partCount, std::uint64_t seed)
    : m_self(settings.self)
    , m_index(index)
    , m_maxWaiting(std::max<std::size_t>(1, settings.maxWaitingCallers / std::max<std::size_t>(1, partCount - 1)))
    , m_requestPrefix(absl::StrCat(settings.self.node.text(), ".", absl::Hex(seed), ".", index, "."))
    , m_random(seed)
    , m_directory(std::make_shared<Directory>())
{
}

Effects CallerPart::handle(const Event& event, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    handleEvent(event, now);
    reportDrained();
    appendEffects(m_outbox, *m_directory, m_self, m_effects);
    const absl::Time next = nextWake();
    if (next != m_requestedWake) {
        m_requestedWake = next;
        m_effects.push_back(WakeAtEffect { next });
    }
    return std::exchange(m_effects, {});
}

void CallerPart::handleEvent(const Event& event, absl::Time now)
{
    if (std::holds_alternative<WakeEvent>(event)) {
        wake(now);
    } else if (const auto* directory = std::get_if<DirectoryEvent>(&event)) {
        m_directory = directory->directory;
    } else if (const auto* caller = std::get_if<CallerEvent>(&event)) {
        handleRequest(*caller, now);
    } else if (const auto* peer = std::get_if<PeerEvent>(&event)) {
        if (const auto* status = std::get_if<JobStatus>(&peer->message.payload))
            handleStatus(*status, now);
    } else if (const auto* gone = std::get_if<CallerDisconnectedEvent>(&event)) {
        absl::erase_if(m_waiting, [gone](const auto& entry) { return entry.second.caller == gone->caller; });
    } else if (std::holds_alternative<DrainEvent>(event)) {
        m_isDraining = true;
    }
}

void CallerPart::refuse(CallerId caller, ErrorKind kind, absl::string_view message)
{
    m_effects.push_back(AnswerEffect { caller, ErrorAnswer { kind, std::string(message), 0, 0 }, true });
}

void CallerPart::handleRequest(const CallerEvent& event, absl::Time now)
{
    WaitingCaller waiting;
    waiting.caller = event.caller;
    absl::Duration wait;
    if (const auto* submit = std::get_if<SubmitRequest>(&event.request)) {
        waiting.kind = RequestKind::Submit;
        waiting.key = submit->key;
        waiting.spec = submit->spec;
        wait = submit->wait;
    } else if (const auto* query = std::get_if<QueryRequest>(&event.request)) {
        waiting.key = query->key;
        wait = query->wait;
    } else if (const auto* cancel = std::get_if<CancelRequest>(&event.request)) {
        waiting.kind = RequestKind::Cancel;
        waiting.key = cancel->key;
        wait = cancel->wait;
    }
    if (const absl::Status status = testRequest(event, waiting); !status.ok()) {
        refuse(event.caller, errorKindOf(status), status.message());
        return;
    }
    waiting.until = now + wait;
    waiting.giveUpAt = now + std::max(wait, acknowledgeTimeout);
    const std::string request = absl::StrCat(m_requestPrefix, ++m_lastRequest);
    WaitingCaller& kept = m_waiting.emplace(request, std::move(waiting)).first->second;
    send(request, kept, now);
}

absl::Status CallerPart::testRequest(const CallerEvent& event, const WaitingCaller& waiting) const
{
    if (m_isDraining)
        return makeError(ErrorKind::Draining, "this entry is stopping; use another one");
    if (m_waiting.size() >= m_maxWaiting)
        return makeError(ErrorKind::TooManyConnections, "too many callers are waiting at this entry");
    if (!event.identity.isOperator && event.identity.organisation != waiting.key.organisation)
        return makeError(ErrorKind::PermissionDenied, "the job belongs to another organisation");
    if (absl::Status status = checkRequestKey(waiting.key.requestKey); !status.ok())
        return status;
    if (waiting.kind != RequestKind::Submit)
        return absl::OkStatus();
    if (absl::Status status = checkJobSpec(waiting.spec); !status.ok())
        return status;
    if (m_directory->configRevision == 0)
        return makeError(ErrorKind::StoreUnavailable, "the configuration has not been read yet");
    if (!m_directory->organisations.contains(waiting.key.organisation))
        return makeError(ErrorKind::UnknownOrganisation, waiting.key.organisation.text());
    if (!m_directory->services.contains(waiting.spec.service))
        return makeError(ErrorKind::UnknownService, waiting.spec.service.text());
    return absl::OkStatus();
}

void CallerPart::send(const std::string& request, WaitingCaller& waiting, absl::Time now)
{
    PeerPayload payload = QueryJob { waiting.key, request };
    if (!waiting.isAcknowledged && waiting.kind == RequestKind::Submit)
        payload = SubmitJob { waiting.key, request, waiting.spec };
    else if (!waiting.isAcknowledged && waiting.kind == RequestKind::Cancel)
        payload = CancelJob { waiting.key, request };
    m_outbox.toShard(homeShardOf(waiting.key), std::move(payload));
    const absl::Duration delay
        = waiting.isAcknowledged ? listenRenewPeriod : backoffCeiling(peerRetryPeriod, maxRetry, waiting.sendCount++);
    waiting.sendAt = now + delay * (0.75 + 0.5 * m_random.uniform());
}

void CallerPart::handleStatus(const JobStatus& status, absl::Time now)
{
    const auto found = m_waiting.find(status.request);
    if (found == m_waiting.end())
        return;
    WaitingCaller& waiting = found->second;
    // A refusal that follows an acknowledgement comes from an owner that has been replaced.
    const bool isStale = status.refusal != ErrorKind::None && waiting.isAcknowledged;
    if (isStale)
        return;
    if (status.refusal != ErrorKind::None) {
        refuse(waiting.caller, status.refusal, status.message);
        m_waiting.erase(found);
        return;
    }
    // A status of an earlier attempt arrived after one of a later attempt.
    const bool isOutdated = waiting.isAcknowledged && status.attempt < waiting.latest.attempt;
    if (isOutdated)
        return;
    waiting.isAcknowledged = true;
    waiting.latest = status;
    if (status.phase != JobPhase::Ended && now < waiting.until)
        return;
    m_effects.push_back(AnswerEffect { waiting.caller, JobAnswer { status }, true });
    m_waiting.erase(found);
}

void CallerPart::answerTimedOut(const WaitingCaller& waiting)
{
    if (waiting.isAcknowledged) {
        m_effects.push_back(AnswerEffect { waiting.caller, JobAnswer { waiting.latest }, true });
        return;
    }
    refuse(waiting.caller, ErrorKind::OwnerUnreachable,
        "the owner of the job's ledger does not answer; whether the request was accepted is unknown");
}

void CallerPart::wake(absl::Time now)
{
    m_requestedWake = absl::InfinitePast();
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        WaitingCaller& waiting = entry->second;
        const absl::Time end = waiting.isAcknowledged ? waiting.until : waiting.giveUpAt;
        if (end <= now) {
            answerTimedOut(waiting);
            entry = m_waiting.erase(entry);
            continue;
        }
        if (waiting.sendAt <= now)
            send(entry->first, waiting, now);
        ++entry;
    }
}

void CallerPart::reportDrained()
{
    if (!m_isDraining || m_isDrainReported || !m_waiting.empty())
        return;
    m_isDrainReported = true;
    m_effects.push_back(NotifyEffect { 0, PartDrainedEvent { m_index } });
}

absl::Time CallerPart::nextWake() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [request, waiting] : m_waiting)
        next = std::min({ next, waiting.sendAt, waiting.isAcknowledged ? waiting.until : waiting.giveUpAt });
    return next;
}

} // namespace mangohall
