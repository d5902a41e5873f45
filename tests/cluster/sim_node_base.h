// A complete node driven by the simulated clock.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/fake_network_base.h"
#include "cluster/fake_store_base.h"
#include "cluster/fake_worker_pool_base.h"
#include "cluster/timeline_base.h"
#include "node/node_factory_func.h"

namespace mangohall {

// The simulated environment of a node.
struct SimWorld {
    Timeline& timeline;
    FakeStore& store;
    FakeWorkerPool& workerPool;
    FakeNetwork& network;
    // Receives each answer to a caller.
    std::function<void(const AnswerEffect&)> answer;
    // Receives each observation, which a program would log or count.
    std::function<void(const ObservationEffect&)> observe;
};

// A front end for tests: it drives the same node as the programs do, but without threads or sockets.
class SimNode {
public:
    SimNode(const NodeSettings& settings, std::uint64_t seed, SimWorld world);

    const NodeSettings& settings() const { return m_settings; }
    bool isAlive() const { return m_process != nullptr; }
    // The number of processes that have been started under the name.
    int processCount() const { return m_processCount; }
    bool isDraining() const { return m_isDraining; }
    bool isDrained() const { return m_isDrained; }
    // Ends the process. Its memory is lost.
    void kill();
    // Starts another process under the same name.
    void start();
    // Suspends the process. Events that arrive are queued.
    void pause() { m_isPaused = true; }
    // Continues the process and delivers the queued events.
    void resume();
    // Delivers an event to the part of the node that handles it; does nothing if the process is dead.
    void post(const Event& event);

private:
    // One process of the node. Replies hold a weak pointer to it, so that a reply to an earlier process is dropped.
    struct Process {
        std::unique_ptr<Node> node;
        // The time at which each part is to be woken.
        std::vector<absl::Time> wakeAt;
    };

    // An event that arrived while the process was suspended.
    struct DeferredEvent {
        PartIndex part = 0;
        Event event;
    };

    void deliver(PartIndex part, const Event& event);
    // Carries out an effect in the simulated environment.
    void execute(PartIndex part, Effect& effect);
    // Schedules a wake event for the part, in place of an earlier one.
    void wakeAt(PartIndex part, absl::Time at);
    // Returns a function that delivers a reply to the part if the process is still the same.
    std::function<void(const Event&)> replyTo(PartIndex part);

    const NodeSettings m_settings;
    const std::uint64_t m_seed;
    const SimWorld m_world;
    std::shared_ptr<Process> m_process;
    int m_processCount = 0;
    bool m_isPaused = false;
    bool m_isDraining = false;
    bool m_isDrained = false;
    std::deque<DeferredEvent> m_deferredEvents;
};

} // namespace mangohall
