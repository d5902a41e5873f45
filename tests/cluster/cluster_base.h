// A simulated cluster: several complete nodes in one process, with a simulated platform and simulated callers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/sim_node_base.h"

namespace mangohall {

// The size of the simulated cluster.
struct ClusterOptions {
    // Seeds every random decision of the simulation, so that a run can be repeated.
    std::uint64_t seed = 1;
    // Number of entry nodes, named "e0", "e1" and so on.
    int entries = 2;
    // Number of scheduler nodes, named "s0", "s1" and so on.
    int schedulers = 3;
    // Number of data centres. Each has one building shard.
    int dataCentres = 3;
    int racksPerDataCentre = 2;
    int workersPerRack = 4;
    int acceleratorsPerWorker = 8;
};

// A caller's request and every answer to it.
struct CallerLog {
    // The name of the entry node that received the request.
    std::string entry;
    // The number of the entry's process, counted from 1, that received the request.
    int entryProcess = 0;
    CallerRequest request;
    absl::Time sentAt;
    std::vector<CallerAnswer> answers;
    absl::Time answeredAt = absl::InfiniteFuture();
    // Whether an answer that is marked as the last one has arrived.
    bool isFinished = false;
    // How many answers were marked as the last one. More than one is a fault.
    int lastAnswers = 0;
};

// Intercepts answers between a node and its callers. Tests install one that falsifies answers.
class AnswerInterceptor {
public:
    virtual ~AnswerInterceptor() = default;
    // Returns the answer that the caller receives.
    virtual AnswerEffect intercept(const AnswerEffect& answer) { return answer; }
};

// Runs the nodes on one simulated clock, sends requests on behalf of callers and records the answers.
class Cluster {
public:
    explicit Cluster(const ClusterOptions& options);

    // Declares the building shards, the organisations "large", "small" and "third", and the service "desk", and waits
    // until this configuration is active.
    void declareBuilding();

    void setAnswerInterceptor(std::shared_ptr<AnswerInterceptor> route) { m_interceptor = std::move(route); }
    // Advances the clock and runs everything that is due.
    void runFor(absl::Duration time) { m_timeline.runUntil(m_timeline.now() + time); }
    // Runs until every request has its last answer. Returns false if the time limit is reached first.
    bool runUntilAnswered(absl::Duration limit);

    // Each of the next three sends a request to the entry node with the given name and returns the id of its log.
    CallerId sendRequest(const std::string& entry, CallerRequest request, const std::string& organisation = "");
    CallerId submit(const std::string& entry, const std::string& organisation, const std::string& key,
        const JobSpec& spec, absl::Duration wait = absl::Minutes(10));
    CallerId put(const std::string& entry, ConfigSpec spec);
    const CallerLog& log(CallerId caller) const { return m_logs.at(caller); }
    const std::map<CallerId, CallerLog>& logs() const { return m_logs; }
    // Returns the job status in the last answer. Fails the test if there is no answer or it has no job status.
    JobStatus statusOf(CallerId caller) const;
    // Returns the error kind of the last answer: the reason of a refusal or the outcome of a job, None for success.
    ErrorKind kindOf(CallerId caller) const;

    SimNode& node(const std::string& name) { return *m_nodes.at(name); }
    std::map<std::string, std::unique_ptr<SimNode>>& nodes() { return m_nodes; }
    FakeStore& store() { return m_store; }
    FakeWorkerPool& workerPool() { return m_workerPool; }
    FakeNetwork& network() { return m_network; }
    Timeline& timeline() { return m_timeline; }
    const std::vector<ObservationEffect>& observations() const { return m_observations; }
    // Counts how many times tasks of the job started to execute, over all attempts.
    int executionsOf(const std::string& organisation, const std::string& key) const;
    // Returns the name of the node that owns the shard, empty if none does.
    std::string ownerOf(const std::string& shard) const;

private:
    void addNode(const std::string& name, NodeRole role, int dataCentre, const ClusterOptions& options);

    Timeline m_timeline;
    SeededRandom m_random;
    FakeStore m_store;
    FakeWorkerPool m_workerPool;
    FakeNetwork m_network;
    const ClusterOptions m_options;
    std::map<std::string, std::unique_ptr<SimNode>> m_nodes;
    std::map<CallerId, CallerLog> m_logs;
    CallerId m_lastCaller = 0;
    std::shared_ptr<AnswerInterceptor> m_interceptor = std::make_shared<AnswerInterceptor>();
    std::vector<ObservationEffect> m_observations;
};

// Makes a job of one task that runs for the given time.
JobSpec singleTask(absl::Duration runTime, int accelerators = 1);
// Makes a gang whose tasks run for the given time.
JobSpec gang(int tasks, int acceleratorsPerTask, Adjacency adjacency, absl::Duration runTime);

} // namespace mangohall
