#include "batch/batch_fuzz_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr int workerCount = 8;
// After everything is healed: leases lapse, late orders arrive, and the jobs run.
constexpr absl::Duration timeToEnd = absl::Seconds(120);

std::string workerName(int worker)
{
    return absl::StrCat("w", worker / 4, worker % 4);
}

} // namespace

BatchFuzz::BatchFuzz(const FuzzOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_cluster(options.nodes, options.seed)
{
    m_cluster.setTraced(options.isTraced);
    m_cluster.fleet().setFailing("sick");
    m_cluster.fleet().setRunTime("long", absl::Seconds(6));
}

int BatchFuzz::pick(int count)
{
    return std::min(count - 1, static_cast<int>(m_random.uniform() * count));
}

int BatchFuzz::liveNode()
{
    const int first = pick(m_options.nodes);
    for (int i = 0; i < m_options.nodes; ++i) {
        const int node = (first + i) % m_options.nodes;
        if (!m_isKilled[node])
            return node;
    }
    return first;
}

std::vector<std::string> BatchFuzz::run()
{
    for (int i = 0; i < m_options.steps; ++i) {
        step();
        m_cluster.runFor(absl::Milliseconds(20 + pick(900)));
    }
    heal();
    m_cluster.runFor(timeToEnd);
    for (const std::string& rule : m_cluster.fleet().broken())
        m_findings.push_back(rule);
    for (const FuzzJob& job : m_jobs)
        judge(job);
    return m_findings;
}

void BatchFuzz::step()
{
    switch (pick(9)) {
    case 0:
    case 1:
    case 2:
        submitNew();
        break;
    case 3:
        submitAgain();
        break;
    case 4:
        cancelOne();
        break;
    case 5:
        hurtNode();
        break;
    case 6:
        hurtStore();
        break;
    default:
        hurtWorker();
        break;
    }
}

void BatchFuzz::submitNew()
{
    FuzzJob job;
    job.id = absl::StrFormat("%016x", m_jobs.size() + 1);
    const bool isUrgent = pick(3) == 0;
    job.path = absl::StrCat(isUrgent ? "/urgent/" : "/batch/", job.id);
    job.isSick = pick(12) == 0;
    const std::string payload = job.isSick ? "sick" : pick(3) == 0 ? "long" : "short";
    const int accelerators = 1 << pick(4);
    job.spec = pick(3) == 0 ? gangOf(payload, 1 + pick(4), accelerators) : tasksOf(payload, 1 + pick(6), accelerators);
    if (pick(3) == 0) {
        job.spec.steps.push_back(job.spec.steps.front());
        job.spec.steps.back().after = { 0 };
    }
    m_jobs.push_back(std::move(job));
    submitAgain();
}

void BatchFuzz::submitAgain()
{
    if (m_jobs.empty())
        return;
    FuzzJob& job = m_jobs.back();
    const int node = liveNode();
    if (!m_isKilled[node])
        job.submissions.push_back(m_cluster.submit(node, job.path, job.spec));
}

void BatchFuzz::cancelOne()
{
    const int node = liveNode();
    if (m_jobs.empty() || m_isKilled[node])
        return;
    FuzzJob& job = m_jobs[static_cast<std::size_t>(pick(static_cast<int>(m_jobs.size())))];
    job.cancellations.push_back(m_cluster.cancel(node, job.path));
}

void BatchFuzz::hurtNode()
{
    // Half the time the owner.
    const int owner = m_cluster.owner();
    const int node = owner >= 0 && pick(2) == 0 ? owner : pick(m_options.nodes);
    if (m_isKilled[node]) {
        m_cluster.start(node);
        m_isKilled[node] = false;
    } else if (m_isPaused[node]) {
        m_cluster.pause(node, false);
        m_isPaused[node] = false;
    } else if (pick(2) == 0) {
        m_cluster.kill(node);
        m_isKilled[node] = true;
    } else {
        m_cluster.pause(node, true);
        m_isPaused[node] = true;
    }
}

void BatchFuzz::hurtStore()
{
    BatchStore& store = m_cluster.store();
    switch (pick(7)) {
    case 0:
        store.setOut(true, pick(2) == 0);
        break;
    case 1:
        store.setLostAnswers(0.4);
        break;
    case 2:
        store.setLateCommits(0.3);
        break;
    case 3:
        store.setDelay(absl::Milliseconds(250));
        break;
    case 4:
        store.compact();
        break;
    case 5:
        store.refuseNode(absl::StrCat("node-", pick(m_options.nodes)), pick(2) == 0);
        break;
    default:
        store.setOut(false);
        store.setLostAnswers(0);
        store.setLateCommits(0);
        store.setDelay(absl::Milliseconds(4));
        break;
    }
}

void BatchFuzz::hurtWorker()
{
    const int worker = pick(workerCount);
    switch (pick(4)) {
    case 0:
        m_isCut[worker] = !m_isCut[worker];
        m_cluster.fleet().cut(workerName(worker), m_isCut[worker]);
        break;
    case 1:
        m_cluster.fleet().restart(workerName(worker));
        break;
    case 2:
        m_cluster.fleet().setLateOrders(0.3);
        break;
    default:
        m_cluster.fleet().setLateOrders(0);
        break;
    }
}

void BatchFuzz::heal()
{
    BatchStore& store = m_cluster.store();
    store.setOut(false);
    store.setLostAnswers(0);
    store.setLateCommits(0);
    store.setDelay(absl::Milliseconds(4));
    m_cluster.fleet().setLateOrders(0);
    for (int worker = 0; worker < workerCount; ++worker)
        m_cluster.fleet().cut(workerName(worker), false);
    for (int node = 0; node < m_options.nodes; ++node) {
        store.refuseNode(absl::StrCat("node-", node), false);
        if (m_isPaused[node])
            m_cluster.pause(node, false);
        if (m_isKilled[node])
            m_cluster.start(node);
    }
}

bool BatchFuzz::isAnsweredWith(absl::Span<const CallerId> callers, ErrorKind kind) const
{
    return std::any_of(
        callers.begin(), callers.end(), [this, kind](CallerId caller) { return m_cluster.kindOf(caller) == kind; });
}

// Every attempt to hand the job in was answered that it has not run and will not.
bool BatchFuzz::isNeverAccepted(const FuzzJob& job) const
{
    return !job.submissions.empty()
        && std::all_of(job.submissions.begin(), job.submissions.end(), [this](CallerId caller) {
               const ErrorKind kind = m_cluster.kindOf(caller);
               return kind == ErrorKind::StoreRefused || kind == ErrorKind::ManifestStale;
           });
}

void BatchFuzz::judge(const FuzzJob& job)
{
    if (isNeverAccepted(job) && m_cluster.fleet().startCount(job.id) > 0)
        m_findings.push_back(absl::StrCat(job.id, " was refused and has run"));
    if (!job.cancellations.empty()) {
        judgeCancelled(job);
        return;
    }
    if (!isAnsweredWith(job.submissions, ErrorKind::None))
        return;
    const JobPhase phase = m_cluster.phaseOf(job.path);
    const JobPhase expected = job.isSick ? JobPhase::Failed : JobPhase::Completed;
    if (phase != expected)
        m_findings.push_back(absl::StrCat(job.id, " was accepted and is in phase ", static_cast<int>(phase)));
}

void BatchFuzz::judgeCancelled(const FuzzJob& job)
{
    absl::Time acknowledged = absl::InfiniteFuture();
    for (const CallerId caller : job.cancellations) {
        const CallerLog& log = m_cluster.log(caller);
        if (m_cluster.kindOf(caller) == ErrorKind::None)
            acknowledged = std::min(acknowledged, log.answeredAt);
    }
    if (acknowledged == absl::InfiniteFuture())
        return;
    for (const SeenRun& run : m_cluster.fleet().seen()) {
        const bool isLate = run.run.task.job.text() == job.id && run.end == absl::InfiniteFuture();
        if (isLate)
            m_findings.push_back(absl::StrCat(job.id, " was cancelled and still runs"));
    }
    const JobPhase phase = m_cluster.phaseOf(job.path);
    if (phase == JobPhase::Active || phase == JobPhase::Pending)
        m_findings.push_back(absl::StrCat(job.id, " was cancelled and is in phase ", static_cast<int>(phase)));
}

} // namespace mangohall::batch
