// The faults of simulated workers: cuts, restarts, replacements, and commands that are executed late.
#include "batch/simulated_workers_base.h"

#include <utility>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration callDelay = absl::Milliseconds(1);
constexpr absl::Duration minLateness = absl::Seconds(2);
// How long a worker is silent until the store removes its entry.
constexpr absl::Duration entryTimeout = absl::Milliseconds(4500);

} // namespace

void SimulatedWorkers::refuseAtSuccessor(const Worker& worker, const Reply& reply)
{
    const Worker& successor = m_workers.at(worker.successor);
    WorkerReply refused;
    if (!successor.successor.empty()) {
        refuseAtSuccessor(successor, reply);
        return;
    }
    if (successor.isCutOff || successor.isPartitioned)
        return;
    if (successor.isGone || successor.isDown || successor.isIsolated)
        refused.status = makeError(ErrorKind::OwnerUnreachable, "nobody listens");
    else
        refused.refusal = WorkerRefusal::OtherProcess;
    m_timeline.after(transit(), [refused, reply] { reply(refused); });
}

void SimulatedWorkers::delay(const WorkerCall& call)
{
    // The command may be under way for as long as its call lasts.
    executeAfter(call, minLateness + (call.timeout + m_longestDelay - minLateness) * m_random.uniform());
}

bool SimulatedWorkers::tryDelayStart(const WorkerCall& call)
{
    const auto delayed = m_delayedStarts.find(call.worker.str());
    if (!std::holds_alternative<StartRun>(call.command) || delayed == m_delayedStarts.end() || delayed->second == 0)
        return false;
    --delayed->second;
    executeAfter(call, call.timeout + m_longestDelay);
    return true;
}

void SimulatedWorkers::executeAfter(const WorkerCall& call, absl::Duration lateness)
{
    m_timeline.after(lateness, [this, call, sentAt = m_timeline.now()] {
        Worker& worker = m_workers.at(call.worker.str());
        if (worker.isGone || worker.isDown)
            return;
        const std::size_t earlierRuns = m_recordedRuns.size();
        executeLate(worker, call);
        if (m_recordedRuns.size() > earlierRuns)
            m_recordedRuns.back().delayedSince = sentAt;
    });
}

bool SimulatedWorkers::tryOutlive(const WorkerCall& call)
{
    if (!std::holds_alternative<StartRun>(call.command) || !std::exchange(m_isNextStartOutlived, false))
        return false;
    m_outlivedStart = call;
    return true;
}

bool SimulatedWorkers::tryKeepRenewal(const WorkerCall& call)
{
    const bool isRenewal = std::holds_alternative<PollRuns>(call.command) && call.leaseUntil != 0;
    if (!isRenewal || call.worker.str() != m_renewalKeptOf)
        return false;
    m_renewalKeptOf.clear();
    m_keptRenewal = call;
    return true;
}

void SimulatedWorkers::executeKeptRenewal()
{
    const WorkerCall call = *m_keptRenewal;
    m_keptRenewal.reset();
    executeLate(m_workers.at(call.worker.str()), call);
}

std::string SimulatedWorkers::workerOfOutlivedStart() const
{
    return m_outlivedStart ? m_outlivedStart->worker.str() : "";
}

void SimulatedWorkers::setFailing(const std::string& payload, bool isFailing)
{
    if (isFailing)
        m_failing.insert(payload);
    else
        m_failing.erase(payload);
}

void SimulatedWorkers::replace(const std::string& name, const std::string& successor, absl::Duration untilStart)
{
    Worker& worker = m_workers.at(name);
    if (!m_outlivesTakeover)
        endAllRuns(worker, RunEnd::LeaseLapsed);
    worker.polls.clear();
    worker.isDown = true;
    const std::int64_t replaced = worker.entry.processStartMs;
    expireEntry(name, replaced);
    m_timeline.after(untilStart, [this, name, successor, replaced] {
        Worker& earlier = m_workers.at(name);
        if (!earlier.isDown || earlier.entry.processStartMs != replaced)
            return;
        earlier.successor = successor;
        const bool isCutOff = earlier.isCutOff;
        const WorkerEntry entry = earlier.entry;
        add(successor, entry.rack.str(), entry.capacity, entry.address);
        m_workers.at(successor).isCutOff = isCutOff;
    });
}

bool SimulatedWorkers::returnReplaced(const std::string& name)
{
    const std::string successor = m_workers.at(name).successor;
    if (successor.empty() || !m_workers.at(successor).successor.empty())
        return false;
    Worker& ended = m_workers.at(successor);
    endAllRuns(ended, RunEnd::LeaseLapsed);
    ended.polls.clear();
    ended.isDown = true;
    expireEntry(successor, ended.entry.processStartMs);
    m_workers.at(name).successor.clear();
    restart(name);
    return true;
}

void SimulatedWorkers::setMisdirected(const std::string& name, bool isMisdirected)
{
    m_workers.at(name).isMisdirected = isMisdirected;
}

void SimulatedWorkers::reconnectAll()
{
    for (auto& [name, worker] : m_workers) {
        worker.isCutOff = false;
        worker.isPartitioned = false;
        writeEntry(worker);
    }
}

void SimulatedWorkers::restart(const std::string& name, absl::Duration untilReport)
{
    Worker& worker = m_workers.at(name);
    // Only `returnReplaced` brings back a worker whose address another one has.
    if (!worker.successor.empty())
        return;
    endAllRuns(worker, RunEnd::LeaseLapsed);
    Worker fresh;
    fresh.entry = worker.entry;
    fresh.entry.isDraining = false;
    fresh.entry.remaining = absl::InfiniteDuration();
    fresh.isCutOff = worker.isCutOff;
    fresh.isPartitioned = worker.isPartitioned;
    fresh.partitionedAt = worker.partitionedAt;
    startClock(fresh);
    worker = std::move(fresh);
    m_timeline.after(untilReport, [this, name] { writeEntry(m_workers.at(name)); });
    if (workerOfOutlivedStart() == name) {
        const WorkerCall call = *m_outlivedStart;
        m_outlivedStart.reset();
        executeLate(worker, call);
    }
}

void SimulatedWorkers::restartAs(
    const std::string& name, const Resources& capacity, const std::string& label, absl::Duration untilReport)
{
    Worker& worker = m_workers.at(name);
    worker.entry.capacity = capacity;
    worker.entry.labels.front() = WorkerLabel(label);
    losePower(name, untilReport);
}

void SimulatedWorkers::losePower(const std::string& name, absl::Duration untilReport)
{
    m_workers.at(name).polls.clear();
    restart(name, untilReport);
}

void SimulatedWorkers::loseEntry(const std::string& name, absl::Duration untilWritten)
{
    m_store.remove({ Collection::Workers, name });
    m_timeline.after(untilWritten, [this, name] { writeEntry(m_workers.at(name)); });
}

void SimulatedWorkers::expireEntry(const std::string& name, std::int64_t processStartMs)
{
    m_timeline.after(entryTimeout, [this, name, processStartMs] {
        if (m_workers.at(name).entry.processStartMs == processStartMs)
            m_store.remove({ Collection::Workers, name });
    });
}

void SimulatedWorkers::crash(const std::string& name, absl::Duration untilStart)
{
    Worker& worker = m_workers.at(name);
    endAllRuns(worker, RunEnd::LeaseLapsed);
    worker.polls.clear();
    worker.isDown = true;
    const std::int64_t crashed = worker.entry.processStartMs;
    expireEntry(name, crashed);
    m_timeline.after(untilStart, [this, name, crashed] {
        if (m_workers.at(name).entry.processStartMs == crashed)
            restart(name);
    });
}

void SimulatedWorkers::drain(const std::string& name, absl::Duration after)
{
    Worker& worker = m_workers.at(name);
    worker.entry.isDraining = true;
    worker.entry.remaining = after;
    writeEntry(worker);
    m_timeline.after(after, [this, name, drained = worker.entry.processStartMs] {
        Worker& later = m_workers.at(name);
        if (later.entry.processStartMs != drained)
            return;
        endAllRuns(later, RunEnd::LeaseLapsed);
        later.isGone = true;
        later.polls.clear();
        if (later.isPartitioned)
            expireEntry(name, drained);
        else if (!later.isIsolated)
            m_store.remove({ Collection::Workers, name });
    });
}

void SimulatedWorkers::setPartitioned(const std::string& name, bool isPartitioned)
{
    Worker& worker = m_workers.at(name);
    worker.isPartitioned = isPartitioned;
    if (!isPartitioned) {
        writeEntry(worker);
        return;
    }
    worker.partitionedAt = m_timeline.now();
    m_timeline.after(entryTimeout, [this, name, since = worker.partitionedAt] {
        const Worker& later = m_workers.at(name);
        if (later.isPartitioned && later.partitionedAt == since)
            m_store.remove({ Collection::Workers, name });
    });
}

void SimulatedWorkers::isolate(const std::string& name)
{
    Worker& worker = m_workers.at(name);
    worker.isIsolated = true;
    breakPolls(worker);
    m_timeline.after(entryTimeout, [this, name] { m_store.remove({ Collection::Workers, name }); });
}

void SimulatedWorkers::breakPolls(Worker& worker)
{
    WorkerReply broken;
    broken.status = makeError(ErrorKind::PeerGone, "the connection was closed");
    for (const PendingPoll& held : std::exchange(worker.polls, {}))
        m_timeline.after(callDelay, [broken, reply = held.reply] { reply(broken); });
}

} // namespace mangohall::batch
