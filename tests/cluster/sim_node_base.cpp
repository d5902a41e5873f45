#include "cluster/sim_node_base.h"

namespace mangohall {

SimNode::SimNode(const NodeSettings& settings, std::uint64_t seed, SimWorld world)
    : m_settings(settings)
    , m_seed(seed)
    , m_world(std::move(world))
{
    start();
}

void SimNode::start()
{
    const std::uint64_t seed = m_seed + 1000 * static_cast<std::uint64_t>(++m_processCount);
    m_process = std::make_shared<Process>();
    m_process->node = m_settings.self.role == NodeRole::Entry
        ? makeEntryNode(m_settings, seed)
        : makeSchedulerNode(m_settings, seed, m_world.timeline.clock());
    m_process->wakeAt.assign(m_process->node->partCount(), absl::InfiniteFuture());
    m_isDraining = false;
    m_isDrained = false;
    m_isPaused = false;
    wakeAt(0, m_world.timeline.now());
}

void SimNode::kill()
{
    m_process.reset();
    m_deferredEvents.clear();
    m_world.store.closeClient(m_settings.self.node.str());
}

void SimNode::resume()
{
    m_isPaused = false;
    while (!m_deferredEvents.empty() && !m_isPaused) {
        const DeferredEvent deferred = std::move(m_deferredEvents.front());
        m_deferredEvents.pop_front();
        deliver(deferred.part, deferred.event);
    }
}

void SimNode::post(const Event& event)
{
    if (!m_process)
        return;
    m_isDraining = m_isDraining || std::holds_alternative<DrainEvent>(event);
    deliver(m_process->node->partFor(event), event);
}

void SimNode::deliver(PartIndex part, const Event& event)
{
    if (!m_process)
        return;
    if (m_isPaused) {
        m_deferredEvents.push_back({ part, event });
        return;
    }
    const std::shared_ptr<Process> process = m_process;
    Effects effects = process->node->handle(part, event, m_world.timeline.now());
    for (Effect& effect : effects) {
        if (m_process == process)
            execute(part, effect);
    }
}

std::function<void(const Event&)> SimNode::replyTo(PartIndex part)
{
    return [this, part, process = std::weak_ptr<Process>(m_process)](const Event& event) {
        if (process.lock() == m_process && m_process)
            deliver(part, event);
    };
}

void SimNode::execute(PartIndex part, Effect& effect)
{
    const auto reply = replyTo(part);
    if (const auto* wake = std::get_if<WakeAtEffect>(&effect)) {
        wakeAt(part, wake->at);
    } else if (const auto* send = std::get_if<SendEffect>(&effect)) {
        if (send->to == m_settings.self.node)
            m_world.timeline.after(
                absl::ZeroDuration(), [this, process = std::weak_ptr<Process>(m_process), message = send->message] {
                    if (process.lock() == m_process)
                        post(PeerEvent { message });
                });
        else
            m_world.network.send(send->to, send->message);
    } else if (const auto* call = std::get_if<StoreEffect>(&effect)) {
        m_world.store.request(
            m_settings.self.node.str(), call->request, [reply, id = call->call](const StoreReply& answer) {
                reply(StoreEvent { id, answer });
            });
    } else if (const auto* work = std::get_if<WorkerEffect>(&effect)) {
        m_world.workerPool.call(
            work->worker, work->request, [reply, work = *work](const absl::StatusOr<WorkerReport>& report) {
                reply(WorkerEvent { work.worker, work.call, report.status(), report.ok() ? *report : WorkerReport() });
            });
    } else if (const auto* list = std::get_if<ReadVmListEffect>(&effect)) {
        m_world.timeline.after(absl::Milliseconds(2), [this, reply, dataCentre = list->dataCentre] {
            reply(VmListEvent { dataCentre, absl::OkStatus(), m_world.workerPool.vms(dataCentre) });
        });
    } else if (const auto* answer = std::get_if<AnswerEffect>(&effect)) {
        m_world.answer(*answer);
    } else if (auto* notify = std::get_if<NotifyEffect>(&effect)) {
        m_world.timeline.after(
            absl::ZeroDuration(), [reply = replyTo(notify->part), event = std::move(notify->event)] { reply(event); });
    } else if (std::holds_alternative<DrainedEffect>(effect)) {
        m_isDrained = true;
    } else if (const auto* observation = std::get_if<ObservationEffect>(&effect)) {
        m_world.observe(*observation);
    }
}

void SimNode::wakeAt(PartIndex part, absl::Time at)
{
    m_process->wakeAt[part] = at;
    if (at == absl::InfiniteFuture())
        return;
    m_world.timeline.at(at, [this, part, at, process = std::weak_ptr<Process>(m_process)] {
        const std::shared_ptr<Process> live = process.lock();
        // A later request has replaced this wake-up.
        if (!live || live != m_process || live->wakeAt[part] != at)
            return;
        live->wakeAt[part] = absl::InfiniteFuture();
        deliver(part, WakeEvent());
    });
}

} // namespace mangohall
