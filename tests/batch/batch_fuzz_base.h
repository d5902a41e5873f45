// Random histories of whole nodes for batch jobs, judged by what callers, workers and the store saw.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "batch/batch_cluster_base.h"

namespace mangohall::batch {

// What a history may contain. A test may leave kinds out, or plant a fault that has to be found.
struct FuzzOptions {
    std::uint64_t seed = 1;
    int steps = 40;
    int nodes = 3;
    // Writes every decision and every step to standard error.
    bool isTraced = false;
};

class BatchFuzz {
public:
    explicit BatchFuzz(const FuzzOptions& options);

    // Plays the history, heals everything and waits for the jobs. Returns every broken promise.
    std::vector<std::string> run();

    BatchCluster& cluster() { return m_cluster; }

private:
    struct FuzzJob {
        std::string id;
        std::string path;
        JobSpec spec;
        bool isSick = false;
        std::vector<CallerId> submissions;
        std::vector<CallerId> cancellations;
    };

    void step();
    void submitNew();
    void submitAgain();
    void cancelOne();
    void hurtNode();
    void hurtStore();
    void hurtWorker();
    void heal();
    void judge(const FuzzJob& job);
    void judgeCancelled(const FuzzJob& job);
    bool isAnsweredWith(absl::Span<const CallerId> callers, ErrorKind kind) const;
    bool isNeverAccepted(const FuzzJob& job) const;
    int pick(int count);
    int liveNode();

    const FuzzOptions m_options;
    SeededRandom m_random;
    BatchCluster m_cluster;
    std::vector<FuzzJob> m_jobs;
    std::map<int, bool> m_isKilled;
    std::map<int, bool> m_isPaused;
    std::map<int, bool> m_isCut;
    std::vector<std::string> m_findings;
};

} // namespace mangohall::batch
