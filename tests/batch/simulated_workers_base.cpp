#include "batch/simulated_workers_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/owner/run_name_func.h"
#include "batch/policy/capacity_index_base.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration callDelay = absl::Milliseconds(1);
constexpr absl::Duration minLateness = absl::Seconds(2);
constexpr absl::Duration latenessSpread = absl::Seconds(10);
constexpr absl::Duration maxLease = absl::Seconds(10);
constexpr absl::Duration stopTime = absl::Milliseconds(300);
constexpr absl::Duration defaultRunTime = absl::Seconds(1);

std::string nameOf(const RunKey& run)
{
    return absl::StrCat(run.task.job.text(), " ", runName(run));
}

} // namespace

BatchFleet::BatchFleet(Timeline& timeline, RandomSource& random, BatchStore& store)
    : m_timeline(timeline)
    , m_random(random)
    , m_store(store)
{
}

void BatchFleet::add(
    const std::string& name, const std::string& rack, const Resources& capacity, const std::string& address)
{
    Worker worker;
    worker.entry.name = WorkerName(name);
    worker.entry.service = ServiceName("desk");
    worker.entry.address = address;
    worker.entry.dataCentre = DataCentreName("here");
    worker.entry.rack = RackName(rack);
    worker.entry.labels = { WorkerLabel("a"), WorkerLabel(rack) };
    worker.entry.capacity = capacity;
    worker.startedAt = m_timeline.now();
    worker.entry.processStartMs = absl::ToUnixMillis(worker.startedAt) + 1;
    writeEntry(worker);
    m_workers[name] = std::move(worker);
}

void BatchFleet::writeEntry(const Worker& worker)
{
    m_store.put({ Collection::Workers, worker.entry.name.str() }, worker.entry);
}

WorkerMillis BatchFleet::clockOf(const Worker& worker) const
{
    return absl::ToInt64Milliseconds(m_timeline.now() - worker.startedAt) + 1;
}

void BatchFleet::call(const WorkerCall& call, Reply reply)
{
    const auto hasReplied = std::make_shared<bool>(false);
    const Reply once = [hasReplied, reply = std::move(reply)](const WorkerReply& answer) {
        if (!std::exchange(*hasReplied, true))
            reply(answer);
    };
    m_timeline.after(call.timeout, [once] {
        WorkerReply none;
        none.status = makeError(ErrorKind::TimedOut, "no answer in time");
        once(none);
    });
    const bool isStartOrStop = !std::holds_alternative<PollRuns>(call.command);
    if (isStartOrStop && m_random.uniform() < m_lateOrders) {
        const absl::Duration lateness = minLateness + latenessSpread * m_random.uniform();
        m_timeline.after(lateness, [this, call, processStartMs = m_workers.at(call.worker.str()).entry.processStartMs] {
            Worker& worker = m_workers.at(call.worker.str());
            if (worker.entry.processStartMs == processStartMs && !worker.isCut && !worker.isGone)
                carryOut(worker, call, true);
        });
        return;
    }
    m_timeline.after(callDelay, [this, call, once] {
        Worker& worker = m_workers.at(call.worker.str());
        if (worker.isCut)
            return;
        if (worker.isGone) {
            WorkerReply refused;
            refused.status = makeError(ErrorKind::OwnerUnreachable, "nobody listens");
            once(refused);
            return;
        }
        if (const auto* pollCall = std::get_if<PollRuns>(&call.command)) {
            const WorkerReply fenced = carryOut(worker, call, false);
            if (fenced.refusal == WorkerRefusal::None)
                poll(worker, *pollCall, once);
            else
                once(fenced);
            return;
        }
        const WorkerReply answer = carryOut(worker, call, false);
        m_timeline.after(callDelay, [answer, once] { once(answer); });
    });
}

WorkerReply BatchFleet::carryOut(Worker& worker, const WorkerCall& call, bool /*isLate*/)
{
    expireLease(worker);
    WorkerReply reply;
    reply.clock = clockOf(worker);
    reply.processStartMs = worker.entry.processStartMs;
    if (call.epoch < worker.epoch && !m_obeysAnyEpoch) {
        reply.refusal = WorkerRefusal::Fenced;
        return reply;
    }
    worker.epoch = call.epoch;
    if (call.leaseUntil != 0) {
        const absl::Time until = worker.startedAt + absl::Milliseconds(call.leaseUntil);
        if (until <= m_timeline.now() && std::holds_alternative<StartRun>(call.command)) {
            reply.refusal = WorkerRefusal::LeaseExpired;
            return reply;
        }
        worker.leaseUntil = std::max(worker.leaseUntil, std::min(until, m_timeline.now() + maxLease));
        const std::string name = worker.entry.name.str();
        m_timeline.at(worker.leaseUntil, [this, name] { expireLease(m_workers.at(name)); });
    }
    if (const auto* startCall = std::get_if<StartRun>(&call.command))
        start(worker, *startCall, reply);
    else if (const auto* stopCall = std::get_if<StopRun>(&call.command))
        stop(worker, *stopCall);
    return reply;
}

Resources BatchFleet::demandOf(const RunKey& run) const
{
    const Record* record = m_store.find({ Collection::Jobs, run.task.job.str() });
    const auto* job = record == nullptr ? nullptr : std::get_if<Job>(&record->value);
    return job == nullptr ? Resources() : countedDemand(job->spec.steps[static_cast<std::size_t>(run.task.task.step)]);
}

void BatchFleet::start(Worker& worker, const StartRun& start, WorkerReply& reply)
{
    if (worker.running.contains(start.run))
        return;
    const auto barred = worker.barred.find(start.run.task);
    if (!m_forgetsStops && barred != worker.barred.end() && start.run.attempt <= barred->second) {
        reply.refusal = WorkerRefusal::AlreadyEnded;
        return;
    }
    const Resources demand = demandOf(start.run);
    checkStartRules(worker, start, demand);
    const auto known = m_runTimes.find(start.payload);
    const absl::Duration time = known == m_runTimes.end() ? defaultRunTime : known->second;
    m_seen.push_back({ start.run, worker.entry.name.str(), start.payload, m_timeline.now() });
    worker.running[start.run]
        = { m_seen.size() - 1, m_timeline.now() + time, m_failing.contains(start.payload), demand };
    m_timeline.after(
        time, [this, name = worker.entry.name.str(), processStartMs = worker.entry.processStartMs, run = start.run] {
            finish(name, processStartMs, run);
        });
}

void BatchFleet::checkStartRules(const Worker& worker, const StartRun& start, const Resources& demand)
{
    for (const SeenRun& seen : m_seen) {
        if (seen.run.task != start.run.task)
            continue;
        if (seen.end == absl::InfiniteFuture())
            m_violations.push_back(absl::StrCat("twice: ", nameOf(start.run), " on ", worker.entry.name.text(),
                " beside ", nameOf(seen.run), " on ", seen.worker));
    }
    Resources used = demand;
    for (const auto& [run, running] : worker.running)
        used += running.demand;
    if (!used.fitsInto(worker.entry.capacity))
        m_violations.push_back(absl::StrCat("over capacity: ", nameOf(start.run), " on ", worker.entry.name.text()));
}

void BatchFleet::stop(Worker& worker, const StopRun& stop)
{
    std::int32_t& barred = worker.barred[stop.run.task];
    barred = std::max(barred, stop.run.attempt);
    if (!worker.running.contains(stop.run))
        return;
    m_timeline.after(stopTime, [this, name = worker.entry.name.str(), run = stop.run] {
        Worker& later = m_workers.at(name);
        if (later.running.contains(run))
            end(later, run, RunEnd::Stopped);
    });
}

void BatchFleet::poll(Worker& worker, const PollRuns& poll, const Reply& reply)
{
    ++m_pollCount;
    acknowledgeEnds(worker, poll.acknowledgedEnd);
    worker.ends.erase(std::remove_if(worker.ends.begin(), worker.ends.end(),
                          [&poll](const EndedRow& row) { return row.number <= poll.acknowledgedEnd; }),
        worker.ends.end());
    if (poll.wait == absl::ZeroDuration() || !worker.ends.empty()) {
        m_timeline.after(callDelay, [answer = report(worker), reply] { reply(answer); });
        return;
    }
    const std::uint64_t id = ++m_lastPollId;
    worker.polls.push_back({ id, reply });
    m_timeline.after(poll.wait, [this, name = worker.entry.name.str(), id] {
        Worker& later = m_workers.at(name);
        const auto found = std::find_if(
            later.polls.begin(), later.polls.end(), [id](const PendingPoll& held) { return held.id == id; });
        if (found == later.polls.end())
            return;
        const Reply waiting = found->reply;
        later.polls.erase(found);
        if (!later.isCut)
            waiting(report(later));
    });
}

void BatchFleet::acknowledgeEnds(Worker& worker, std::int64_t acknowledged)
{
    while (!worker.runOfEnd.empty() && worker.runOfEnd.begin()->first <= acknowledged) {
        SeenRun& seen = m_seen[worker.runOfEnd.begin()->second];
        seen.isAcknowledged = !seen.isForgotten;
        worker.runOfEnd.erase(worker.runOfEnd.begin());
    }
}

void BatchFleet::markEndsForgotten(Worker& worker)
{
    for (const auto& [number, seen] : worker.runOfEnd)
        m_seen[seen].isForgotten = true;
}

std::vector<std::string> BatchFleet::broken() const
{
    std::vector<std::string> broken = m_violations;
    for (const SeenRun& done : m_seen) {
        if (done.end == absl::InfiniteFuture() || done.how != RunEnd::Done || !done.isAcknowledged)
            continue;
        for (const SeenRun& later : m_seen) {
            if (later.run.task == done.run.task && later.begin > done.end)
                broken.push_back(absl::StrCat("again: ", nameOf(later.run), " after ", nameOf(done.run)));
        }
    }
    return broken;
}

void BatchFleet::answerPolls(Worker& worker)
{
    if (worker.isCut)
        return;
    for (const PendingPoll& held : std::exchange(worker.polls, {}))
        m_timeline.after(callDelay, [answer = report(worker), reply = held.reply] { reply(answer); });
}

std::int32_t BatchFleet::percentOf(const Running& running) const
{
    const absl::Time begin = m_seen[running.seen].begin;
    return static_cast<std::int32_t>(100 * absl::FDivDuration(m_timeline.now() - begin, running.endsAt - begin));
}

WorkerReply BatchFleet::report(const Worker& worker) const
{
    WorkerReply reply;
    reply.clock = clockOf(worker);
    reply.processStartMs = worker.entry.processStartMs;
    for (const auto& [run, running] : worker.running)
        reply.running.push_back({ run, "", percentOf(running) });
    reply.ended = worker.ends;
    return reply;
}

void BatchFleet::finish(const std::string& name, std::int64_t processStartMs, const RunKey& run)
{
    Worker& worker = m_workers.at(name);
    expireLease(worker);
    const auto found = worker.running.find(run);
    if (worker.entry.processStartMs != processStartMs || found == worker.running.end())
        return;
    end(worker, run, found->second.fails ? RunEnd::Failed : RunEnd::Done);
}

void BatchFleet::end(Worker& worker, const RunKey& run, RunEnd how)
{
    const auto found = worker.running.find(run);
    SeenRun& seen = m_seen[found->second.seen];
    seen.end = m_timeline.now();
    seen.how = how;
    worker.running.erase(found);
    std::int32_t& barred = worker.barred[run.task];
    barred = std::max(barred, run.attempt);
    worker.runOfEnd[worker.lastEnd + 1] = static_cast<std::size_t>(&seen - m_seen.data());
    worker.ends.push_back({ ++worker.lastEnd, run, how, "" });
    answerPolls(worker);
}

void BatchFleet::expireLease(Worker& worker)
{
    if (worker.leaseUntil > m_timeline.now())
        return;
    endAllRuns(worker, RunEnd::LeaseLapsed);
    markEndsForgotten(worker);
}

void BatchFleet::endAllRuns(Worker& worker, RunEnd how)
{
    while (!worker.running.empty())
        end(worker, RunKey(worker.running.begin()->first), how);
}

void BatchFleet::restart(const std::string& name)
{
    Worker& worker = m_workers.at(name);
    endAllRuns(worker, RunEnd::LeaseLapsed);
    Worker fresh;
    fresh.entry = worker.entry;
    fresh.isCut = worker.isCut;
    fresh.startedAt = m_timeline.now();
    fresh.entry.processStartMs = absl::ToUnixMillis(fresh.startedAt) + 1;
    worker = std::move(fresh);
    writeEntry(worker);
}

void BatchFleet::drain(const std::string& name, absl::Duration after)
{
    Worker& worker = m_workers.at(name);
    worker.entry.isDraining = true;
    worker.entry.remaining = after;
    writeEntry(worker);
    m_timeline.after(after, [this, name] {
        Worker& later = m_workers.at(name);
        endAllRuns(later, RunEnd::LeaseLapsed);
        later.isGone = true;
        later.polls.clear();
        m_store.remove({ Collection::Workers, name });
    });
}

int BatchFleet::doneCount(const TaskKey& task) const
{
    return static_cast<int>(std::count_if(m_seen.begin(), m_seen.end(), [&task](const SeenRun& seen) {
        return seen.run.task == task && seen.end != absl::InfiniteFuture() && seen.how == RunEnd::Done;
    }));
}

int BatchFleet::startCount(const std::string& job) const
{
    return static_cast<int>(std::count_if(
        m_seen.begin(), m_seen.end(), [&job](const SeenRun& seen) { return seen.run.task.job.text() == job; }));
}

int BatchFleet::aloneCount() const
{
    return static_cast<int>(std::count_if(m_seen.begin(), m_seen.end(),
        [](const SeenRun& seen) { return seen.end != absl::InfiniteFuture() && seen.how == RunEnd::GangIncomplete; }));
}

} // namespace mangohall::batch
