#include "batch/batch_cluster_base.h"

#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "adapters/json/batch_record_json_func.h"
#include "batch/policy/priority_policy_base.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {

namespace {

constexpr int racks = 2;
constexpr int workersPerRack = 4;
constexpr absl::Duration callerWait = absl::Seconds(3);

Manifest makeManifest()
{
    Manifest manifest;
    manifest.version = 1;
    QueueSpec urgent;
    urgent.name = QueueName("urgent");
    urgent.host = "desk.example";
    urgent.pathPrefix = "/urgent/";
    urgent.service = ServiceName("desk");
    urgent.terms = { 0, 2, 1.5, absl::Milliseconds(400) };
    QueueSpec batch = urgent;
    batch.name = QueueName("batch");
    batch.pathPrefix = "/batch/";
    batch.terms = { 2, 3, 3, absl::Seconds(3) };
    manifest.queues = { urgent, batch };
    manifest.organisations
        = { { OrganisationName("large"), { "key-large" }, 32 }, { OrganisationName("small"), { "key-small" }, 8 } };
    return manifest;
}

// About as many bytes as the platform's encoding of the message has.
std::size_t bytesOf(const WorkerCall& call)
{
    constexpr std::size_t commandBytes = 300;
    const auto* start = std::get_if<StartRun>(&call.command);
    return commandBytes + (start == nullptr ? 0 : start->payload.size() + start->checkpoint.size());
}

std::size_t bytesOf(const StoreRequest& request)
{
    constexpr std::size_t requestBytes = 200;
    const auto* commit = std::get_if<CommitRecords>(&request);
    std::size_t bytes = requestBytes;
    if (commit == nullptr)
        return bytes;
    for (const RecordWrite& write : commit->writes)
        bytes += encodeRecord(write.value).size() * 4 / 3;
    return bytes;
}

} // namespace

BatchCluster::BatchCluster(int nodes, std::uint64_t seed)
    : m_random(seed)
    , m_store(m_timeline, m_random)
    , m_workers(m_timeline, m_random, m_store, seed)
    , m_manifest(makeManifest())
{
    putManifest(m_manifest);
    for (int rack = 0; rack < racks; ++rack) {
        for (int worker = 0; worker < workersPerRack; ++worker)
            m_workers.add(absl::StrCat("w", rack, worker), absl::StrCat("r", rack), { 128000, 1 << 30, 8 });
    }
    for (int node = 0; node < nodes; ++node)
        start(node);
    runFor(absl::Seconds(2));
}

std::string BatchCluster::nameOf(int node)
{
    return absl::StrCat("node-", node);
}

void BatchCluster::start(int node)
{
    NodeSettings settings;
    settings.self = NodeName(nameOf(node));
    settings.seed = ++m_starts;
    settings.maxEvacuationAge = m_maxEvacuationAge;
    settings.jobMemoryBytes = m_jobMemoryBytes;
    settings.processorShare = m_shares.try_emplace(node, 1).first->second;
    NodeSlot& slot = m_nodes[node];
    slot = NodeSlot();
    slot.process = std::make_shared<Process>();
    Process& process = *slot.process;
    process.processor = std::make_unique<Processor>(m_timeline, m_costs[node]);
    process.link = Link(m_linkRates[node]);
    process.node = std::make_unique<Node>(settings, *process.processor,
        std::make_unique<CostlyPolicy>(std::make_unique<PriorityPolicy>(), *process.processor));
    slot.process->wakeAt.assign(slot.process->node->partCount(), absl::InfiniteFuture());
    for (PartIndex part = 0; part < slot.process->node->partCount(); ++part)
        wakeAt(node, part, m_timeline.now());
}

void BatchCluster::kill(int node)
{
    m_nodes.at(node) = NodeSlot();
}

void BatchCluster::suspend(int node, bool isSuspended)
{
    NodeSlot& slot = m_nodes.at(node);
    slot.isSuspended = isSuspended;
    if (isSuspended)
        return;
    for (const HeldEvent& held : std::exchange(slot.held, {}))
        deliver(node, held.part, held.event);
}

void BatchCluster::setEvacuated(const std::string& dataCentre, bool isEvacuated)
{
    const RecordKey key { Collection::Evacuations, dataCentre };
    if (isEvacuated)
        m_store.put(key, Evacuation());
    else
        m_store.remove(key);
}

void BatchCluster::drain(int node)
{
    deliver(node, directoryPart, DrainEvent());
}

void BatchCluster::wakeAt(int node, PartIndex part, absl::Time at)
{
    const std::shared_ptr<Process> process = m_nodes.at(node).process;
    process->wakeAt[part] = at;
    if (at == absl::InfiniteFuture())
        return;
    m_timeline.at(at, [this, node, part, at, weak = std::weak_ptr<Process>(process)] {
        const std::shared_ptr<Process> current = weak.lock();
        if (!current || current != m_nodes.at(node).process || current->wakeAt[part] != at)
            return;
        current->wakeAt[part] = absl::InfiniteFuture();
        deliver(node, part, WakeEvent());
    });
}

void BatchCluster::deliver(int node, PartIndex part, const Event& event)
{
    NodeSlot& slot = m_nodes.at(node);
    const std::shared_ptr<Process> process = slot.process;
    if (!process)
        return;
    if (slot.isSuspended) {
        slot.held.push_back({ part, event });
        return;
    }
    if (process->isBusy)
        process->queue.push_back({ part, event });
    else
        handle(node, part, event);
}

void BatchCluster::handle(int node, PartIndex part, const Event& event)
{
    const std::shared_ptr<Process> process = m_nodes.at(node).process;
    const Effects effects = process->node->handle(part, event, m_timeline.now());
    process->processor->spendEvent();
    const absl::Duration spent = process->processor->takeSpent();
    if (spent == absl::ZeroDuration()) {
        finish(node, part, effects);
        return;
    }
    process->isBusy = true;
    m_timeline.after(spent, [this, node, part, effects, weak = std::weak_ptr<Process>(process)] {
        const std::shared_ptr<Process> current = weak.lock();
        if (!current || current != m_nodes.at(node).process)
            return;
        current->isBusy = false;
        finish(node, part, effects);
        if (current->isBusy || current->queue.empty())
            return;
        const HeldEvent next = std::move(current->queue.front());
        current->queue.pop_front();
        deliver(node, next.part, next.event);
    });
}

void BatchCluster::finish(int node, PartIndex part, const Effects& effects)
{
    const std::shared_ptr<Process> process = m_nodes.at(node).process;
    for (const Effect& effect : effects) {
        if (m_nodes.at(node).process == process)
            perform(node, part, effect);
    }
}

void BatchCluster::perform(int node, PartIndex part, const Effect& effect)
{
    const std::weak_ptr<Process> process = m_nodes.at(node).process;
    const auto reply = [this, node, part, process](const Event& event) {
        const std::shared_ptr<Process> current = process.lock();
        if (current && current == m_nodes.at(node).process)
            deliver(node, part, event);
    };
    if (const auto* wake = std::get_if<WakeAtEffect>(&effect)) {
        wakeAt(node, part, wake->at);
    } else if (const auto* store = std::get_if<StoreEffect>(&effect)) {
        callStore(node, *store, [reply, call = store->call](const StoreReply& answer) {
            reply(StoreEvent { call, answer });
        });
    } else if (const auto* worker = std::get_if<WorkerEffect>(&effect)) {
        callWorker(node, worker->request, [reply, call = worker->call](const WorkerReply& answer) {
            reply(WorkerEvent { call, answer });
        });
    } else if (const auto* answer = std::get_if<AnswerEffect>(&effect)) {
        CallerLog& log = m_logs.at(answer->caller);
        EXPECT_FALSE(log.answer) << "a caller was answered twice";
        log.answer = answer->answer;
        log.answeredAt = m_timeline.now();
    } else if (const auto* notify = std::get_if<NotifyEffect>(&effect)) {
        m_timeline.after(absl::ZeroDuration(), [this, node, process, target = *notify] {
            const std::shared_ptr<Process> current = process.lock();
            if (current && current == m_nodes.at(node).process)
                deliver(node, target.part, target.event);
        });
    } else if (const auto* ready = std::get_if<ReadyEffect>(&effect)) {
        m_nodes.at(node).isReady = ready->isReady;
    } else if (const auto* decision = std::get_if<DecisionEffect>(&effect)) {
        m_decisions.push_back(*decision);
        if (m_isTraced)
            trace(node, *decision);
    } else if (std::holds_alternative<DrainedEffect>(effect)) {
        m_nodes.at(node).isDrained = true;
    }
}

void BatchCluster::callWorker(int node, const WorkerCall& call, SimulatedWorkers::Reply reply)
{
    const absl::Duration sending = m_nodes.at(node).process->link.send(bytesOf(call), m_timeline.now());
    if (sending == absl::ZeroDuration()) {
        m_workers.call(call, std::move(reply));
        return;
    }
    if (sending >= call.timeout) {
        WorkerReply none;
        none.status = makeError(ErrorKind::TimedOut, "no answer in time");
        m_timeline.after(call.timeout, [reply = std::move(reply), none] { reply(none); });
        return;
    }
    WorkerCall sent = call;
    sent.timeout -= sending;
    m_timeline.after(sending, [this, sent, reply = std::move(reply)] { m_workers.call(sent, reply); });
}

void BatchCluster::callStore(int node, const StoreEffect& effect, BatchStore::Reply reply)
{
    const absl::Duration sending = m_nodes.at(node).process->link.send(bytesOf(effect.request), m_timeline.now());
    if (sending == absl::ZeroDuration()) {
        m_store.request(nameOf(node), effect.request, effect.timeout, std::move(reply));
        return;
    }
    if (sending >= effect.timeout) {
        StoreReply none;
        none.status = makeError(ErrorKind::OutcomeUnknown, "no answer in time");
        m_timeline.after(effect.timeout, [reply = std::move(reply), none] { reply(none); });
        return;
    }
    m_timeline.after(sending, [this, node, effect, sending, reply = std::move(reply)] {
        m_store.request(nameOf(node), effect.request, effect.timeout - sending, reply);
    });
}

void BatchCluster::trace(int node, const DecisionEffect& decision) const
{
    std::cerr << absl::FormatTime("%M:%E3S", m_timeline.now(), absl::UTCTimeZone()) << " node-" << node << " kind "
              << static_cast<int>(decision.kind) << " " << decision.job << " " << decision.run << " " << decision.worker
              << " " << decision.outcome << " " << decision.reason << " epoch " << decision.epoch << "\n";
}

CallerId BatchCluster::sendRequest(int node, CallerRequest request)
{
    request.host = "desk.example";
    if (request.apiKey.empty())
        request.apiKey = "key-large";
    request.deadline = m_timeline.now() + callerWait;
    const CallerId caller = ++m_lastCaller;
    m_logs[caller] = { request, m_timeline.now(), {} };
    const std::shared_ptr<Process> process = m_nodes.at(node).process;
    if (process)
        deliver(node, process->node->callerPartFor(request.path), CallerEvent { caller, request });
    return caller;
}

CallerId BatchCluster::submit(int node, const std::string& path, const JobSpec& spec)
{
    CallerRequest request;
    request.verb = CallerVerb::Submit;
    request.path = path;
    request.spec = spec;
    return sendRequest(node, std::move(request));
}

CallerId BatchCluster::query(int node, const std::string& path)
{
    CallerRequest request;
    request.path = path;
    return sendRequest(node, std::move(request));
}

CallerId BatchCluster::cancel(int node, const std::string& path)
{
    CallerRequest request;
    request.verb = CallerVerb::Cancel;
    request.path = path;
    return sendRequest(node, std::move(request));
}

ErrorKind BatchCluster::kindOf(CallerId caller) const
{
    const CallerLog& log = m_logs.at(caller);
    if (!log.answer)
        return ErrorKind::Internal;
    const auto* refusal = std::get_if<RefusalAnswer>(&*log.answer);
    return refusal == nullptr ? ErrorKind::None : errorKindOf(refusal->status);
}

JobPhase BatchCluster::phaseOf(const std::string& path)
{
    int node = 0;
    while (!m_nodes.at(node).process)
        ++node;
    const CallerId caller = query(node, path);
    runFor(absl::Milliseconds(200));
    const CallerLog& log = m_logs.at(caller);
    const auto* state = log.answer ? std::get_if<JobStateAnswer>(&*log.answer) : nullptr;
    EXPECT_NE(state, nullptr) << path << " has no state: " << errorName(kindOf(caller));
    return state == nullptr ? JobPhase::Pending : state->phase;
}

int BatchCluster::owner() const
{
    const Record* record = m_store.find({ Collection::Holder, "" });
    const auto* holder = record == nullptr ? nullptr : std::get_if<HolderRecord>(&record->value);
    if (holder == nullptr)
        return -1;
    for (const auto& [node, slot] : m_nodes) {
        if (holder->node.text() == nameOf(node))
            return node;
    }
    return -1;
}

JobSpec tasksOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate)
{
    JobSpec spec;
    spec.payload = payload;
    StepSpec step;
    step.taskCount = tasks;
    step.demand = { 1000, 1 << 20, accelerators };
    step.estimate = estimate;
    spec.steps.push_back(step);
    return spec;
}

JobSpec gangOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate)
{
    JobSpec spec = tasksOf(payload, tasks, accelerators, estimate);
    spec.steps.front().isGang = true;
    return spec;
}

} // namespace mangohall::batch
