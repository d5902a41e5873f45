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
    const std::uint64_t seed = m_seed + 1000 * static_cast<std::uint64_t>(++m_runs);
    m_run = std::make_shared<Run>();
    m_run->node = m_settings.self.role == NodeRole::Entry
        ? makeEntryNode(m_settings, seed)
        : makeSchedulerNode(m_settings, seed, m_world.timeline.clock());
    m_run->wakeAt.assign(m_run->node->partCount(), absl::InfiniteFuture());
    m_isDraining = false;
    m_isDrained = false;
    m_isPaused = false;
    wakeAt(0, m_world.timeline.now());
}

void SimNode::kill()
{
    m_run.reset();
    m_held.clear();
    m_world.store.closeClient(m_settings.self.node.str());
}

void SimNode::resume()
{
    m_isPaused = false;
    while (!m_held.empty() && !m_isPaused) {
        const Held held = std::move(m_held.front());
        m_held.pop_front();
        deliver(held.part, held.event);
    }
}

void SimNode::post(const Event& event)
{
    if (!m_run)
        return;
    m_isDraining = m_isDraining || std::holds_alternative<DrainEvent>(event);
    deliver(m_run->node->partFor(event), event);
}

void SimNode::deliver(PartIndex part, const Event& event)
{
    if (!m_run)
        return;
    if (m_isPaused) {
        m_held.push_back({ part, event });
        return;
    }
    const std::shared_ptr<Run> run = m_run;
    Effects effects = run->node->handle(part, event, m_world.timeline.now());
    for (Effect& effect : effects) {
        if (m_run == run)
            perform(part, effect);
    }
}

std::function<void(const Event&)> SimNode::replyTo(PartIndex part)
{
    return [this, part, run = std::weak_ptr<Run>(m_run)](const Event& event) {
        if (run.lock() == m_run && m_run)
            deliver(part, event);
    };
}

void SimNode::perform(PartIndex part, Effect& effect)
{
    const auto reply = replyTo(part);
    if (const auto* wake = std::get_if<WakeAtEffect>(&effect)) {
        wakeAt(part, wake->at);
    } else if (const auto* send = std::get_if<SendEffect>(&effect)) {
        if (send->to == m_settings.self.node)
            m_world.timeline.after(
                absl::ZeroDuration(), [this, run = std::weak_ptr<Run>(m_run), message = send->message] {
                    if (run.lock() == m_run)
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
        m_world.fleet.call(
            work->worker, work->request, [reply, work = *work](const absl::StatusOr<WorkerReport>& report) {
                reply(WorkerEvent { work.worker, work.call, report.status(), report.ok() ? *report : WorkerReport() });
            });
    } else if (const auto* list = std::get_if<ReadVmListEffect>(&effect)) {
        m_world.timeline.after(absl::Milliseconds(2), [this, reply, dataCentre = list->dataCentre] {
            reply(VmListEvent { dataCentre, absl::OkStatus(), m_world.fleet.vms(dataCentre) });
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
    m_run->wakeAt[part] = at;
    if (at == absl::InfiniteFuture())
        return;
    m_world.timeline.at(at, [this, part, at, run = std::weak_ptr<Run>(m_run)] {
        const std::shared_ptr<Run> live = run.lock();
        // A later wish has replaced this one.
        if (!live || live != m_run || live->wakeAt[part] != at)
            return;
        live->wakeAt[part] = absl::InfiniteFuture();
        deliver(part, WakeEvent());
    });
}

} // namespace mangohall
