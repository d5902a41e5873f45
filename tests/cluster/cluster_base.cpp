#include "cluster/cluster_base.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace mangohall {

namespace {

std::string dataCentreName(int index)
{
    return absl::StrCat("dc", index);
}

std::string regionName(int index)
{
    return index < 2 ? "east" : "west";
}

} // namespace

Cluster::Cluster(const ClusterOptions& options)
    : m_random(options.seed)
    , m_store(m_timeline, m_random)
    , m_workerPool(m_timeline, m_random)
    , m_network(m_timeline, m_random,
          [this](const NodeName& to, const PeerMessage& message) {
              const auto found = m_nodes.find(to.str());
              if (found != m_nodes.end())
                  found->second->post(PeerEvent { message });
          })
    , m_options(options)
{
    for (int dc = 0; dc < options.dataCentres; ++dc) {
        for (int rack = 0; rack < options.racksPerDataCentre; ++rack)
            m_workerPool.addRack(regionName(dc), dataCentreName(dc), absl::StrCat(dataCentreName(dc), "-r", rack),
                options.workersPerRack, options.acceleratorsPerWorker);
    }
    for (int index = 0; index < options.schedulers; ++index)
        addNode(absl::StrCat("s", index), NodeRole::Scheduler, index % options.dataCentres, options);
    for (int index = 0; index < options.entries; ++index)
        addNode(absl::StrCat("e", index), NodeRole::Entry, index % options.dataCentres, options);
}

void Cluster::addNode(const std::string& name, NodeRole role, int dataCentre, const ClusterOptions& options)
{
    NodeSettings settings;
    settings.self.node = NodeName(name);
    settings.self.role = role;
    settings.self.address = name;
    settings.self.region = RegionName(regionName(dataCentre));
    settings.self.dataCentre = DataCentreName(dataCentreName(dataCentre));
    settings.partCount = 2;
    SimWorld world { m_timeline, m_store, m_workerPool, m_network,
        [this](const AnswerEffect& given) {
            const AnswerEffect answer = m_interceptor->intercept(given);
            CallerLog& log = m_logs.at(answer.caller);
            EXPECT_FALSE(log.isFinished) << "caller " << answer.caller << " was answered again";
            log.answers.push_back(answer.answer);
            log.isFinished = answer.isLast;
            log.lastAnswers += answer.isLast ? 1 : 0;
            log.answeredAt = m_timeline.now();
        },
        [this](const ObservationEffect& observation) { m_observations.push_back(observation); } };
    m_nodes.emplace(name, std::make_unique<SimNode>(settings, options.seed * 7919 + m_nodes.size(), world));
}

void Cluster::declareBuilding()
{
    runFor(absl::Seconds(2));
    for (int dc = 0; dc < m_options.dataCentres; ++dc) {
        ShardSpec shard;
        shard.name = ShardName(absl::StrCat("hall-", dataCentreName(dc)));
        shard.region = RegionName(regionName(dc));
        shard.dataCentre = DataCentreName(dataCentreName(dc));
        for (int rack = 0; rack < m_options.racksPerDataCentre; ++rack)
            shard.racks.emplace_back(absl::StrCat(dataCentreName(dc), "-r", rack));
        shard.workersPerRack = m_options.workersPerRack;
        shard.acceleratorsPerWorker = m_options.acceleratorsPerWorker;
        put("e0", shard);
    }
    for (const char* name : { "large", "small", "third" }) {
        Organisation organisation;
        organisation.name = OrganisationName(name);
        put("e0", organisation);
    }
    put("e0", Service { ServiceName("desk"), 8, 64 });
    runFor(absl::Seconds(8));
}

bool Cluster::runUntilAnswered(absl::Duration limit)
{
    const absl::Time end = m_timeline.now() + limit;
    const auto isAnswered = [this] {
        return std::all_of(m_logs.begin(), m_logs.end(), [](const auto& entry) { return entry.second.isFinished; });
    };
    while (m_timeline.now() < end && !isAnswered())
        runFor(absl::Milliseconds(100));
    return isAnswered();
}

CallerId Cluster::sendRequest(const std::string& entry, CallerRequest request, const std::string& organisation)
{
    const CallerId caller = ++m_lastCaller;
    m_logs[caller]
        = { entry, m_nodes.at(entry)->processCount(), request, m_timeline.now(), {}, absl::InfiniteFuture(), false, 0 };
    const Identity identity { organisation.empty(), OrganisationName(organisation) };
    m_nodes.at(entry)->post(CallerEvent { caller, identity, std::move(request) });
    return caller;
}

CallerId Cluster::submit(const std::string& entry, const std::string& organisation, const std::string& key,
    const JobSpec& spec, absl::Duration wait)
{
    return sendRequest(entry, SubmitRequest { { OrganisationName(organisation), key }, spec, wait }, organisation);
}

CallerId Cluster::put(const std::string& entry, ConfigSpec spec)
{
    const std::string changeId = absl::StrCat("change-", m_lastCaller + 1);
    return sendRequest(entry, PutRequest { std::move(spec), absl::nullopt, changeId });
}

JobStatus Cluster::statusOf(CallerId caller) const
{
    const CallerLog& log = m_logs.at(caller);
    if (log.answers.empty()) {
        ADD_FAILURE() << "caller " << caller << " has no answer";
        return JobStatus();
    }
    const auto* job = std::get_if<JobAnswer>(&log.answers.back());
    if (job == nullptr) {
        ADD_FAILURE() << "caller " << caller << " was refused";
        return JobStatus();
    }
    return job->status;
}

ErrorKind Cluster::kindOf(CallerId caller) const
{
    const CallerLog& log = m_logs.at(caller);
    if (log.answers.empty())
        return ErrorKind::TimedOut;
    if (const auto* error = std::get_if<ErrorAnswer>(&log.answers.back()))
        return error->kind;
    if (const auto* job = std::get_if<JobAnswer>(&log.answers.back()))
        return job->status.phase == JobPhase::Ended ? job->status.outcome : ErrorKind::TimedOut;
    return ErrorKind::None;
}

int Cluster::executionsOf(const std::string& organisation, const std::string& key) const
{
    int count = 0;
    for (const TaskExecution& execution : m_workerPool.executions()) {
        if (execution.task.job.organisation.str() == organisation && execution.task.job.requestKey == key)
            ++count;
    }
    return count;
}

std::string Cluster::ownerOf(const std::string& shard) const
{
    const StoreEntry* entry = m_store.find("cluster/owners/" + shard);
    const auto* owner = entry == nullptr ? nullptr : std::get_if<OwnerRecord>(&entry->value);
    return owner == nullptr ? std::string() : owner->node.str();
}

JobSpec singleTask(absl::Duration runTime, int accelerators)
{
    return gang(1, accelerators, Adjacency::SameWorker, runTime);
}

JobSpec gang(int tasks, int acceleratorsPerTask, Adjacency adjacency, absl::Duration runTime)
{
    JobSpec spec;
    spec.service = ServiceName("desk");
    spec.shape = { tasks, acceleratorsPerTask, adjacency };
    spec.cpuMillisPerTask = 1000;
    spec.memoryBytesPerTask = 1 << 20;
    spec.expectedRunTime = runTime;
    spec.payload = absl::StrCat("{\"runMs\":", absl::ToInt64Milliseconds(runTime), ",\"echo\":\"done\"}");
    return spec;
}

} // namespace mangohall
