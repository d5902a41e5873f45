// Several whole nodes for batch jobs in one process, with their store, workers and callers.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/batch_store_base.h"
#include "batch/link_base.h"
#include "batch/node/node_base.h"
#include "batch/processor_base.h"
#include "batch/simulated_workers_base.h"

namespace mangohall::batch {

// A caller's request and its answer, with the times of both.
struct CallerLog {
    CallerRequest request;
    absl::Time askedAt;
    absl::optional<CallerAnswer> answer;
    absl::Time answeredAt = absl::InfiniteFuture();
};

// Several nodes on one simulated clock.
class BatchCluster {
public:
    // A cluster with two racks of four workers with 8 accelerators each, and the queues "/urgent/" and "/batch/" of the
    // service "desk". Its store, workers and callers are simulated.
    explicit BatchCluster(int nodes = 3, std::uint64_t seed = 1);

    // Writes every decision to standard error from now on.
    void setTraced(bool isTraced) { m_isTraced = isTraced; }
    void runFor(absl::Duration time) { m_timeline.runUntil(m_timeline.now() + time); }

    // Send a caller's request to a node.
    CallerId submit(int node, const std::string& path, const JobSpec& spec);
    CallerId query(int node, const std::string& path);
    CallerId cancel(int node, const std::string& path);
    CallerId sendRequest(int node, CallerRequest request);
    const CallerLog& log(CallerId caller) const { return m_logs.at(caller); }
    // The kind of the answer: the refusal's kind, or None if it is no refusal; Internal if there is no answer.
    ErrorKind kindOf(CallerId caller) const;
    // The phase of a job as a node reports it now; fails the test if the answer is no job state.
    JobPhase phaseOf(const std::string& path);

    // Ends the node's process at once; `start` starts another one.
    void kill(int node);
    void start(int node);
    // Sets the share of a processor that the node may use, from its next start on.
    void setProcessorShare(int node, double share) { m_shares[node] = share; }
    // Sets the processor time that the node's work costs, from its next start on. The node handles one event after the
    // other.
    void setProcessorCost(int node, ProcessorCost cost) { m_costs[node] = cost; }
    // Sets how many bytes a second the node's link sends, from its next start on; 0 for a link without a limit. Starts
    // and commits take by far the most.
    void setLinkRate(int node, double bytesPerSecond) { m_linkRates[node] = bytesPerSecond; }
    // Sets how old the evacuations may be for a node that starts runs, from its next start on.
    void setMaxEvacuationAge(absl::Duration age) { m_maxEvacuationAge = age; }
    // Sets the memory for jobs at an owner, from its next start on.
    void setJobMemory(std::int64_t bytes) { m_jobMemoryBytes = bytes; }
    // Suspends the node's process: events are held back until it is resumed.
    void suspend(int node, bool isSuspended);
    void drain(int node);
    bool isReady(int node) const { return m_nodes.at(node).isReady; }
    bool isDrained(int node) const { return m_nodes.at(node).isDrained; }
    // The node that owns jobs and workers, or -1 if the store has no holder or an unknown one.
    int owner() const;

    void putManifest(const Manifest& manifest) { m_store.put({ Collection::Manifest, "" }, manifest); }
    // Writes, or removes, the operators' request to evacuate the data centre.
    void setEvacuated(const std::string& dataCentre, bool isEvacuated);
    // All decisions that the nodes have logged, in order.
    const std::vector<DecisionEffect>& decisions() const { return m_decisions; }
    const Manifest& manifest() const { return m_manifest; }

    BatchStore& store() { return m_store; }
    SimulatedWorkers& workers() { return m_workers; }
    Timeline& timeline() { return m_timeline; }

private:
    // An event that waits until the node can handle it.
    struct HeldEvent {
        PartIndex part = 0;
        Event event;
    };

    // One process of a node.
    struct Process {
        std::unique_ptr<Processor> processor;
        std::unique_ptr<Node> node;
        Link link;
        // When each part wants to be woken.
        std::vector<absl::Time> wakeAt;
        // An event is being handled; later ones are queued.
        bool isBusy = false;
        std::deque<HeldEvent> queue;
    };

    struct NodeSlot {
        std::shared_ptr<Process> process;
        bool isReady = false;
        bool isDrained = false;
        bool isSuspended = false;
        std::vector<HeldEvent> held;
    };

    static std::string nameOf(int node);
    void deliver(int node, PartIndex part, const Event& event);
    void handle(int node, PartIndex part, const Event& event);
    void finish(int node, PartIndex part, const Effects& effects);
    void perform(int node, PartIndex part, const Effect& effect);
    // Sends the call once the link is free. One that its timeout ends before is not sent.
    void callWorker(int node, const WorkerCall& call, SimulatedWorkers::Reply reply);
    void callStore(int node, const StoreEffect& effect, BatchStore::Reply reply);
    void trace(int node, const DecisionEffect& decision) const;
    void wakeAt(int node, PartIndex part, absl::Time at);

    Timeline m_timeline;
    SeededRandom m_random;
    BatchStore m_store;
    SimulatedWorkers m_workers;
    Manifest m_manifest;
    std::map<int, double> m_shares;
    std::map<int, ProcessorCost> m_costs;
    std::map<int, double> m_linkRates;
    absl::Duration m_maxEvacuationAge = absl::InfiniteDuration();
    std::int64_t m_jobMemoryBytes = defaultJobMemoryBytes;
    std::map<int, NodeSlot> m_nodes;
    std::map<CallerId, CallerLog> m_logs;
    CallerId m_lastCaller = 0;
    std::vector<DecisionEffect> m_decisions;
    bool m_isTraced = false;
    // Process starts so far; each process gets its count as seed.
    std::uint64_t m_starts = 0;
};

// Job specifications of one step with `tasks` equal tasks, each of which uses `accelerators` accelerators; `gangOf`
// makes the step a gang.
JobSpec tasksOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate = absl::Seconds(1));
JobSpec gangOf(const std::string& payload, int tasks, int accelerators, absl::Duration estimate = absl::Seconds(1));

} // namespace mangohall::batch
