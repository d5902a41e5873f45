// Workers within one process, on the paused clock, that run tasks for set times and see every rule broken.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "batch/batch_store_base.h"
#include "batch/fleet/worker_type.h"
#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

// One run as its worker saw it.
struct SeenRun {
    RunKey run;
    std::string worker;
    std::string payload;
    absl::Time begin;
    absl::Time end = absl::InfiniteFuture();
    RunEnd how = RunEnd::Done;
    // The worker was told that the end need not be listed again, and its lease had not lapsed since.
    bool isNoted = false;
    // The worker's lease lapsed before it was told so.
    bool isForgotten = false;
};

class BatchFleet {
public:
    using Reply = std::function<void(const WorkerReply&)>;

    BatchFleet(Timeline& timeline, RandomSource& random, BatchStore& store);

    // Adds a worker that writes its entry to the store.
    void add(const std::string& name, const std::string& rack, const Resources& capacity,
        const std::string& address = "nowhere");
    void call(const WorkerCall& call, Reply reply);

    // How long tasks of the payload run, and whether their runs fail.
    void setRunTime(const std::string& payload, absl::Duration time) { m_runTimes[payload] = time; }
    void setFailing(const std::string& payload) { m_failing.insert(payload); }

    // No call reaches the worker and no answer comes; it runs on.
    void cut(const std::string& name, bool isCut) { m_workers.at(name).isCut = isCut; }
    // The process dies, and another one starts under the same name.
    void restart(const std::string& name);
    // Says that it drains; it is gone after the time.
    void drain(const std::string& name, absl::Duration after);
    // The share of starts and stops without an answer that are carried out seconds later.
    void setLateOrders(double share) { m_lateOrders = share; }
    // Break the workers' own rules: to do nothing for a smaller epoch, and to bar a run that was stopped.
    void setObeysAnyEpoch(bool obeysAnyEpoch) { m_obeysAnyEpoch = obeysAnyEpoch; }
    void setForgetsStops(bool forgetsStops) { m_forgetsStops = forgetsStops; }

    const std::vector<SeenRun>& seen() const { return m_seen; }
    // Runs of the task that are over and done.
    int doneCount(const TaskKey& task) const;
    int startCount(const std::string& job) const;
    // What no worker may ever see: a task twice at a time, a start after a done end that was noted then or later, a
    // worker over its capacity.
    std::vector<std::string> broken() const;
    // Ends of gang members that waited for the others in vain.
    int aloneCount() const;
    // Looks at workers so far.
    int lookCount() const { return m_looks; }

private:
    struct Running {
        std::size_t seen = 0;
        absl::Time endsAt;
        bool fails = false;
        Resources demand;
    };

    struct HeldLook {
        std::uint64_t id = 0;
        Reply reply;
    };

    struct Worker {
        WorkerEntry entry;
        bool isCut = false;
        bool isGone = false;
        Epoch epoch = 0;
        absl::Time leaseUntil = absl::InfinitePast();
        absl::Time bornAt;
        std::int64_t lastEnd = 0;
        std::map<RunKey, Running> running;
        std::map<TaskKey, std::int32_t> barred;
        std::vector<EndedRow> ends;
        // Which seen run each end is of.
        std::map<std::int64_t, std::size_t> seenOfEnd;
        std::vector<HeldLook> looks;
    };

    WorkerReply carryOut(Worker& worker, const WorkerCall& call, bool isLate);
    void start(Worker& worker, const StartRun& start, WorkerReply& reply);
    void stop(Worker& worker, const StopRun& stop);
    void look(Worker& worker, const Look& look, const Reply& reply);
    void noteEnds(Worker& worker, std::int64_t acknowledged);
    void forgetEnds(Worker& worker);
    void answerLooks(Worker& worker);
    std::int32_t percentOf(const Running& running) const;
    WorkerReply report(const Worker& worker) const;
    void finish(const std::string& name, std::int64_t bornMs, const RunKey& run);
    void end(Worker& worker, const RunKey& run, RunEnd how);
    void lapse(Worker& worker);
    void endAll(Worker& worker, RunEnd how);
    void publish(const Worker& worker);
    void checkStart(const Worker& worker, const StartRun& start, const Resources& demand);
    WorkerMillis clockOf(const Worker& worker) const;
    Resources demandOf(const RunKey& run) const;

    Timeline& m_timeline;
    RandomSource& m_random;
    BatchStore& m_store;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, absl::Duration> m_runTimes;
    std::set<std::string> m_failing;
    double m_lateOrders = 0;
    bool m_obeysAnyEpoch = false;
    bool m_forgetsStops = false;
    std::vector<SeenRun> m_seen;
    std::vector<std::string> m_broken;
    int m_looks = 0;
    std::uint64_t m_lastLook = 0;
};

} // namespace mangohall::batch
