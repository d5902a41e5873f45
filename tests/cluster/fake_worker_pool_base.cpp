#include "cluster/fake_worker_pool_base.h"

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "core/time_const.h"

namespace mangohall {

namespace {

constexpr std::int64_t coresPerWorker = 128;
constexpr std::int64_t bytesPerWorker = 256LL << 30;

} // namespace

FakeWorkerPool::FakeWorkerPool(Timeline& timeline, RandomSource& random)
    : m_timeline(timeline)
    , m_random(random)
{
}

void FakeWorkerPool::addRack(absl::string_view region, absl::string_view dataCentre, absl::string_view rack,
    int workers, int acceleratorsPerWorker)
{
    for (int index = 0; index < workers; ++index) {
        FakeWorker worker;
        const std::string name = absl::StrCat(rack, "-w", index);
        worker.vm.worker = WorkerName(name);
        worker.vm.address = name;
        worker.vm.region = RegionName(region);
        worker.vm.dataCentre = DataCentreName(dataCentre);
        worker.vm.rack = RackName(rack);
        worker.vm.capacity = { coresPerWorker * 1000, bytesPerWorker, acceleratorsPerWorker };
        worker.state = std::make_unique<WorkerState>(
            worker.vm.worker, absl::StrCat(name, "-run"), m_timeline.clock(), WorkerTiming());
        m_listChanges.push_back({ absl::InfinitePast(), worker.vm, false });
        m_workers.emplace(name, std::move(worker));
    }
}

void FakeWorkerPool::call(const WorkerName& name, const WorkerCall& call, const Reply& reply)
{
    const auto fail = [this, reply] {
        m_timeline.after(workerCallTimeout,
            [reply] { reply(makeError(ErrorKind::OwnerUnreachable, "the worker does not answer")); });
    };
    m_timeline.after(m_delay, [this, name, call, reply, fail] {
        const auto found = m_workers.find(name.str());
        const bool isSilent = found == m_workers.end() || found->second.isFrozen || found->second.isDead;
        if (isSilent || m_random.uniform() < m_loss / 2) {
            fail();
            return;
        }
        const WorkerReport report = m_behaviour->handle(*found->second.state, call);
        recordCall(call, report);
        if (found->second.losesAnswers || m_random.uniform() < m_loss / 2) {
            fail();
            return;
        }
        m_timeline.after(m_delay, [reply, report] { reply(report); });
    });
}

void FakeWorkerPool::recordCall(const WorkerCall& call, const WorkerReport& report)
{
    if (report.isFenced)
        return;
    Epoch& last = m_lastEpochs[{ report.incarnation, call.fence.shard }];
    if (last != call.fence.epoch)
        m_acceptedEpochs.push_back({ report.worker.str(), report.incarnation, call.fence.shard, call.fence.epoch });
    last = call.fence.epoch;
    if (const auto* start = std::get_if<StartTask>(&call.command))
        recordStart(*start, report);
}

void FakeWorkerPool::recordStart(const StartTask& start, const WorkerReport& report)
{
    for (const TaskReport& task : report.tasks) {
        if (task.task != start.task || task.state == TaskState::NeverStarted)
            continue;
        if (m_recordedStarts.emplace(report.incarnation, start.task).second)
            m_starts.push_back(
                { start.task, report.worker.str(), m_timeline.now(), start.isPrepared, !start.checkpoint.empty() });
    }
}

std::vector<VmEntry> FakeWorkerPool::vms(const DataCentreName& dataCentre) const
{
    std::map<std::string, VmEntry> listed;
    for (const ListChange& change : m_listChanges) {
        if (change.at + m_listLag > m_timeline.now() || change.vm.dataCentre != dataCentre)
            continue;
        if (change.isGone)
            listed.erase(change.vm.worker.str());
        else
            listed[change.vm.worker.str()] = change.vm;
    }
    std::vector<VmEntry> entries;
    entries.reserve(listed.size());
    for (const auto& [name, vm] : listed)
        entries.push_back(vm);
    return entries;
}

void FakeWorkerPool::kill(const std::string& name)
{
    FakeWorker& worker = m_workers.at(name);
    worker.isDead = true;
    m_listChanges.push_back({ m_timeline.now(), worker.vm, true });
}

void FakeWorkerPool::leave(const std::string& name)
{
    FakeWorker& worker = m_workers.at(name);
    worker.vm.isLeaving = true;
    m_listChanges.push_back({ m_timeline.now(), worker.vm, false });
}

void FakeWorkerPool::revive(const std::string& name)
{
    FakeWorker& worker = m_workers.at(name);
    worker.state->restart();
    worker.isDead = false;
    worker.vm.isLeaving = false;
    m_listChanges.push_back({ m_timeline.now(), worker.vm, false });
}

std::vector<TaskExecution> FakeWorkerPool::executions() const
{
    std::vector<TaskExecution> all;
    for (const auto& [name, worker] : m_workers) {
        const std::vector<TaskExecution> own = worker.state->executions();
        all.insert(all.end(), own.begin(), own.end());
    }
    return all;
}

} // namespace mangohall
