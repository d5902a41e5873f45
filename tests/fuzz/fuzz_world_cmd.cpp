#include "fuzz/fuzz_world_base.h"

#include "absl/strings/str_cat.h"
#include "core/time_const.h"
#include "fuzz/fuzz_job_func.h"

namespace mangohall {

namespace {

constexpr int entryCount = 2;
constexpr int schedulerCount = 3;
constexpr int organisationCount = 4;
constexpr absl::Duration callerWait = absl::Seconds(20);
constexpr absl::Duration strayTaskBound = absl::Seconds(60);

ClusterOptions optionsOf(std::uint64_t seed)
{
    ClusterOptions options;
    options.seed = seed;
    options.entries = entryCount;
    options.schedulers = schedulerCount;
    options.workersPerRack = 2;
    return options;
}

// Returns how far a step advances the clock: 50 ms, doubled up to 20 s, so that short and long times are equally
// likely.
absl::Duration advanceTimeOf(int detail)
{
    constexpr absl::Duration shortest = absl::Milliseconds(50);
    constexpr absl::Duration longest = absl::Seconds(20);
    constexpr int doublings = 9;
    return std::min(longest, shortest * (1 << (detail % (doublings + 1))));
}

// Returns a fraction of lost or duplicated messages: 0, 0.1, 0.2 or 0.3.
double fractionOf(int detail)
{
    constexpr int shares = 4;
    constexpr double unit = 0.1;
    return unit * (detail % shares);
}

std::string organisationOf(int number)
{
    return absl::StrCat("org-", number % organisationCount);
}

} // namespace

FuzzWorld::FuzzWorld(std::uint64_t seed)
    : m_cluster(optionsOf(seed))
{
    m_cluster.declareBuilding();
}

std::string FuzzWorld::entryOf(int number) const
{
    return absl::StrCat("e", number % entryCount);
}

std::string FuzzWorld::nodeOf(int number) const
{
    const int index = number % (entryCount + schedulerCount);
    return index < schedulerCount ? absl::StrCat("s", index) : absl::StrCat("e", index - schedulerCount);
}

FakeWorker& FuzzWorld::workerOf(int number)
{
    auto& workers = m_cluster.workerPool().workers();
    auto found = workers.begin();
    std::advance(found, number % workers.size());
    return found->second;
}

void FuzzWorld::applyStep(const Step& step)
{
    constexpr absl::Duration stepInterval = absl::Milliseconds(3);
    if (step.kind == StepKind::AdvanceTime)
        m_cluster.runFor(advanceTimeOf(step.detail));
    else if (!applyRequest(step) && !applyNodeFault(step) && !applyPlatformFault(step))
        applyWorkerFault(step);
    m_cluster.runFor(stepInterval);
    checkStrayTasks();
}

bool FuzzWorld::applyRequest(const Step& step)
{
    const JobKey key = fuzzKey(step.subject % fuzzKeys);
    const std::string entry = entryOf(step.detail);
    if (step.kind == StepKind::Submit)
        submit(step, 0);
    else if (step.kind == StepKind::SubmitOtherBody)
        submit(step, 1);
    else if (step.kind == StepKind::Cancel)
        m_cluster.sendRequest(entry, CancelRequest { key, callerWait }, key.organisation.str());
    else if (step.kind == StepKind::Query)
        m_cluster.sendRequest(entry, QueryRequest { key, callerWait }, key.organisation.str());
    else if (step.kind == StepKind::Put)
        put(step, false);
    else if (step.kind == StepKind::PutExpected)
        put(step, true);
    else if (step.kind == StepKind::RacePuts) {
        for (int entry = 0; entry < entryCount; ++entry)
            put({ step.kind, step.subject, entry }, true);
    } else if (step.kind == StepKind::Delete)
        m_cluster.sendRequest(
            entry, DeleteRequest { ConfigKind::Organisation, organisationOf(step.subject), absl::nullopt });
    else if (step.kind == StepKind::Read)
        m_cluster.sendRequest(entry, ReadRequest { ConfigKind::Organisation, "" });
    else
        return false;
    return true;
}

void FuzzWorld::submit(const Step& step, int variant)
{
    const int number = step.subject % fuzzKeys;
    const JobKey key = fuzzKey(number);
    m_cluster.submit(
        entryOf(step.detail), key.organisation.str(), key.requestKey, fuzzBody(number, variant), callerWait);
}

void FuzzWorld::put(const Step& step, bool hasExpectedRevision)
{
    Organisation organisation;
    organisation.name = OrganisationName(organisationOf(step.subject));
    organisation.weight = ++m_puts;
    PutRequest request { organisation, absl::nullopt, absl::StrCat("fuzz-", m_puts) };
    if (hasExpectedRevision)
        request.expectedRevision = lastPutRevision(organisation.name.str());
    m_cluster.sendRequest(entryOf(step.detail), request);
}

Revision FuzzWorld::lastPutRevision(const std::string& name) const
{
    Revision last = 0;
    for (const auto& [caller, log] : m_cluster.logs()) {
        const auto* put = std::get_if<PutRequest>(&log.request);
        const auto* organisation = put == nullptr ? nullptr : std::get_if<Organisation>(&put->spec);
        if (organisation == nullptr || organisation->name.str() != name || log.answers.empty())
            continue;
        if (const auto* config = std::get_if<ConfigAnswer>(&log.answers.back()))
            last = config->object.revision;
    }
    return last;
}

bool FuzzWorld::applyNodeFault(const Step& step)
{
    const std::string name = nodeOf(step.subject);
    SimNode& node = m_cluster.node(name);
    if (step.kind == StepKind::KillNode)
        node.kill();
    else if (step.kind == StepKind::RestartNode) {
        node.kill();
        node.start();
    } else if (step.kind == StepKind::PauseNode)
        node.pause();
    else if (step.kind == StepKind::ResumeNode)
        node.resume();
    else if (step.kind == StepKind::DrainNode)
        node.post(DrainEvent());
    else if (step.kind == StepKind::SilenceWatches)
        m_cluster.store().silenceWatches(name);
    else if (step.kind == StepKind::IsolateNode)
        m_cluster.network().isolate(NodeName(name));
    else if (step.kind == StepKind::ReconnectNode)
        m_cluster.network().reconnect(NodeName(name));
    else
        return false;
    return true;
}

bool FuzzWorld::applyPlatformFault(const Step& step)
{
    constexpr absl::Duration jitterUnit = absl::Milliseconds(200);
    if (step.kind == StepKind::StopStore)
        m_cluster.store().setUnavailable(true);
    else if (step.kind == StepKind::RestoreStore)
        m_cluster.store().setUnavailable(false);
    else if (step.kind == StepKind::StoreLosesAnswers)
        m_cluster.store().setLostAnswers(fractionOf(step.detail));
    else if (step.kind == StepKind::NetworkLoss)
        m_cluster.network().setLoss(fractionOf(step.detail));
    else if (step.kind == StepKind::NetworkDuplication)
        m_cluster.network().setDuplication(fractionOf(step.detail));
    else if (step.kind == StepKind::NetworkJitter)
        m_cluster.network().setJitter(jitterUnit * (step.detail % 4));
    else
        return false;
    return true;
}

bool FuzzWorld::applyWorkerFault(const Step& step)
{
    FakeWorker& worker = workerOf(step.subject);
    const std::string name = worker.vm.worker.str();
    if (step.kind == StepKind::FreezeWorker)
        worker.isFrozen = true;
    else if (step.kind == StepKind::ThawWorker)
        worker.isFrozen = false;
    else if (step.kind == StepKind::KillWorker)
        m_cluster.workerPool().kill(name);
    else if (step.kind == StepKind::RestartWorker)
        m_cluster.workerPool().revive(name);
    else if (step.kind == StepKind::LoseWorkerAnswers)
        worker.losesAnswers = step.detail % 2 == 0;
    else if (step.kind == StepKind::FailEveryTask)
        worker.state->setFailsEveryTask(step.detail % 2 == 0);
    else if (step.kind == StepKind::LeaveWorker)
        m_cluster.workerPool().leave(name);
    else if (step.kind == StepKind::LoseWorkerCalls)
        m_cluster.workerPool().setLoss(fractionOf(step.detail));
    else
        return false;
    return true;
}

void FuzzWorld::checkStrayTasks()
{
    const ObservedHistory observed = observedHistoryOf(m_cluster);
    const std::set<JobKey> ended = JobOracle(observed).endedBy(m_cluster.timeline().now() - strayTaskBound);
    for (auto& [name, worker] : m_cluster.workerPool().workers()) {
        if (worker.isDead || worker.isFrozen)
            continue;
        for (const TaskId& task : worker.state->runningTasks()) {
            if (ended.contains(task.job))
                m_findings.push_back(absl::StrCat(
                    name, " runs a task of ", task.job.requestKey, " after the end of the job was reported"));
        }
    }
}

void FuzzWorld::heal()
{
    m_cluster.store().setUnavailable(false);
    m_cluster.store().setLostAnswers(0);
    m_cluster.network().setLoss(0);
    m_cluster.network().setDuplication(0);
    m_cluster.network().setJitter(absl::Milliseconds(1));
    m_cluster.workerPool().setLoss(0);
    for (auto& [name, worker] : m_cluster.workerPool().workers()) {
        worker.isFrozen = false;
        worker.losesAnswers = false;
        worker.state->setFailsEveryTask(false);
        if (worker.isDead || worker.vm.isLeaving)
            m_cluster.workerPool().revive(name);
    }
    for (auto& [name, node] : m_cluster.nodes()) {
        m_cluster.network().reconnect(NodeName(name));
        node->resume();
        if (!node->isAlive() || node->isDraining()) {
            node->kill();
            node->start();
        }
    }
}

Findings FuzzWorld::healAndCheck()
{
    constexpr absl::Duration settling = absl::Seconds(60);
    constexpr absl::Duration quietLimit = absl::Minutes(5);
    heal();
    m_cluster.runFor(settling);
    const Findings config = checkApplied();
    m_cluster.runFor(quietLimit);
    queryAllJobs();
    checkStrayTasks();
    const ObservedHistory observed = observedHistoryOf(m_cluster);
    Findings findings = m_findings;
    for (const Findings& more : { JobOracle(observed).checkQuiet(), ConfigOracle(observed).check(), config })
        findings.insert(findings.end(), more.begin(), more.end());
    return findings;
}

void FuzzWorld::queryAllJobs()
{
    constexpr absl::Duration answerLimit = absl::Seconds(30);
    std::set<JobKey> keys;
    for (const auto& [caller, log] : m_cluster.logs()) {
        if (const auto* submit = std::get_if<SubmitRequest>(&log.request))
            keys.insert(submit->key);
    }
    for (const JobKey& key : keys) {
        for (int entry = 0; entry < entryCount; ++entry)
            m_cluster.sendRequest(entryOf(entry), QueryRequest { key, absl::Seconds(1) }, key.organisation.str());
    }
    m_cluster.runFor(answerLimit);
}

Findings FuzzWorld::checkApplied()
{
    Step step;
    step.kind = StepKind::Put;
    put(step, false);
    m_cluster.runFor(configInForceBound);
    std::vector<CallerId> reads;
    reads.reserve(entryCount);
    for (int entry = 0; entry < entryCount; ++entry)
        reads.push_back(m_cluster.sendRequest(entryOf(entry), ReadRequest { ConfigKind::Organisation, "" }));
    m_cluster.runFor(absl::Seconds(1));
    const ObservedHistory observed = observedHistoryOf(m_cluster);
    const ConfigOracle oracle(observed);
    Findings findings;
    for (const CallerId read : reads) {
        const CallerLog& log = m_cluster.log(read);
        const auto* list = log.answers.empty() ? nullptr : std::get_if<ConfigListAnswer>(&log.answers.back());
        const Findings more = list == nullptr ? Findings { absl::StrCat(log.entry, " did not answer a read") }
                                              : oracle.checkFinal(log.entry, *list);
        findings.insert(findings.end(), more.begin(), more.end());
    }
    return findings;
}

} // namespace mangohall
