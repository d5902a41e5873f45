// Several whole nodes for batch jobs in one process, with their store, workers and callers.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/batch_fleet_base.h"
#include "batch/batch_store_base.h"
#include "batch/node/node_base.h"
#include "batch/processor_base.h"

namespace mangohall::batch {

// A caller's request and its answer.
struct CallerLog {
    CallerRequest request;
    absl::Time askedAt;
    absl::optional<CallerAnswer> answer;
    absl::Time answeredAt = absl::InfiniteFuture();
};

class BatchCluster {
public:
    // Two racks of four workers with 8 accelerators each, and the queues "/urgent/" and "/batch/" of "desk".
    explicit BatchCluster(int nodes = 3, std::uint64_t seed = 1);

    // Writes every decision to standard error from now on.
    void setTraced(bool isTraced) { m_isTraced = isTraced; }
    void runFor(absl::Duration time) { m_timeline.runUntil(m_timeline.now() + time); }

    CallerId submit(int node, const std::string& path, const JobSpec& spec);
    CallerId query(int node, const std::string& path);
    CallerId cancel(int node, const std::string& path);
    CallerId ask(int node, CallerRequest request);
    const CallerLog& log(CallerId caller) const { return m_logs.at(caller); }
    // The kind of the answer: a refusal's, or None. Internal if there is no answer.
    ErrorKind kindOf(CallerId caller) const;
    // What a node is told of a job now; fails the test if it is no state.
    JobPhase phaseOf(const std::string& path);

    // The process is gone at once; `start` makes another one.
    void kill(int node);
    void start(int node);
    // Of a processor, from the node's next start on.
    void setProcessorShare(int node, double share) { m_shares[node] = share; }
    // What the node's work costs of its own time, from its next start on. One event is handled after the other.
    void setProcessorCost(int node, ProcessorCost cost) { m_costs[node] = cost; }
    // The process stands still and sees nothing.
    void pause(int node, bool isPaused);
    void drain(int node);
    bool isReady(int node) const { return m_nodes.at(node).isReady; }
    bool isDrained(int node) const { return m_nodes.at(node).isDrained; }
    // The node that owns jobs and workers; -1 if the store names none.
    int owner() const;

    void putManifest(const Manifest& manifest) { m_store.put({ Collection::Manifest, "" }, manifest); }
    const Manifest& manifest() const { return m_manifest; }

    BatchStore& store() { return m_store; }
    BatchFleet& fleet() { return m_fleet; }
    Timeline& timeline() { return m_timeline; }

private:
    struct Held {
        PartIndex part = 0;
        Event event;
    };

    struct Run {
        std::unique_ptr<Processor> processor;
        std::unique_ptr<Node> node;
        std::vector<absl::Time> wakeAt;
        bool isBusy = false;
        std::deque<Held> queue;
    };

    struct NodeSlot {
        std::shared_ptr<Run> run;
        bool isReady = false;
        bool isDrained = false;
        bool isPaused = false;
        std::vector<Held> held;
    };

    static std::string nameOf(int node);
    void deliver(int node, PartIndex part, const Event& event);
    void handle(int node, PartIndex part, const Event& event);
    void finish(int node, PartIndex part, const Effects& effects);
    void perform(int node, PartIndex part, const Effect& effect);
    void trace(int node, const DecisionEffect& decision) const;
    void wakeAt(int node, PartIndex part, absl::Time at);

    Timeline m_timeline;
    SeededRandom m_random;
    BatchStore m_store;
    BatchFleet m_fleet;
    Manifest m_manifest;
    std::map<int, double> m_shares;
    std::map<int, ProcessorCost> m_costs;
    std::map<int, NodeSlot> m_nodes;
    std::map<CallerId, CallerLog> m_logs;
    CallerId m_lastCaller = 0;
    bool m_isTraced = false;
    std::uint64_t m_starts = 0;
};

// Steps of equal tasks that take the whole of `accelerators` each.
JobSpec tasksOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate = absl::Seconds(1));
JobSpec gangOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate = absl::Seconds(1));

} // namespace mangohall::batch
