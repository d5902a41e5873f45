#include "slopes/dispatch_driver_base.h"

#include <algorithm>
#include <memory>

#include "slopes/sample_func.h"

namespace mangohall {

DispatchDriver::DispatchDriver(std::uint64_t seed, int workers)
    : m_random(seed)
    , m_dispatcher(sampleShard(0), 1, makeCellPool(sampleShard(0)), makeFairQueue(), m_random, m_outbox, sampleClock())
    , m_now(sampleNow())
{
    m_dispatcher.setDirectory(std::make_shared<Directory>(sampleDirectory(1, 1, workers)), m_now);
    m_dispatcher.setVms(sampleVms(0, workers), m_now);
    afterEvent();
    replyToAll();
}

void DispatchDriver::afterEvent()
{
    ++m_events;
    m_nextWake = m_dispatcher.nextWake();
}

void DispatchDriver::runTask(int index)
{
    ReserveCapacity reserve;
    reserve.attempt = { sampleKey(index), 0 };
    reserve.home = ledgerShardName(0);
    reserve.spec = sampleSpec(1);
    reserve.acceptedAt = m_now;
    m_dispatcher.reserve(reserve, m_now);
    afterEvent();
    replyToAll();
}

void DispatchDriver::replyToAll()
{
    while (true) {
        const std::vector<OutgoingWorkerCall> calls = m_outbox.takeWorkerCalls();
        const std::vector<ShardMessage> messages = m_outbox.takeShardMessages();
        m_outbox.takeNodeMessages();
        m_outbox.takeObservations();
        if (calls.empty() && messages.empty())
            return;
        for (const OutgoingWorkerCall& call : calls)
            replyToWorkerCall(call);
        for (const ShardMessage& message : messages) {
            const auto* held = std::get_if<CapacityHeld>(&message.payload);
            if (held == nullptr)
                continue;
            m_dispatcher.startAttempt({ held->attempt, message.to, sampleSpec(1), "", held->placement }, m_now);
            afterEvent();
        }
    }
}

void DispatchDriver::replyToWorkerCall(const OutgoingWorkerCall& call)
{
    ++m_workerCalls;
    std::vector<TaskReport>& tasks = m_tasks[call.worker];
    WorkerReport report;
    report.worker = call.worker;
    report.incarnation = "run-0123456789abcdef";
    if (const auto* start = std::get_if<StartTask>(&call.request.command)) {
        report.tasks.push_back(
            sampleReport(start->task.job, start->task.attempt, start->task.index, TaskState::Running));
        tasks.push_back(report.tasks.front());
    } else {
        report.tasks = tasks;
    }
    m_dispatcher.handleWorkerReply(call.call, absl::OkStatus(), report, m_now);
    afterEvent();
}

void DispatchDriver::advance(absl::Duration span)
{
    const absl::Time until = m_now + span;
    while (m_nextWake <= until) {
        m_now = std::max(m_now, m_nextWake);
        m_dispatcher.wake(m_now);
        afterEvent();
        replyToAll();
    }
    m_now = until;
}

} // namespace mangohall
