// Simulated workers on the simulated clock. They run tasks for configured times and record every violation of the
// rules.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "batch/batch_store_base.h"
#include "batch/worker/worker_type.h"
#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

// One run, as its worker executed it.
struct RecordedRun {
    RunKey run;
    std::string worker;
    std::string payload;
    absl::Time begin;
    absl::Time end = absl::InfiniteFuture();
    RunEnd endKind = RunEnd::Done;
    // When the start was sent, if it got no response and was executed late; otherwise InfinitePast.
    absl::Time delayedSince = absl::InfinitePast();
    // The end was acknowledged to the worker while its lease had not expired since the end.
    bool isAcknowledged = false;
    // The worker's lease expired before the end was acknowledged.
    bool isForgotten = false;
};

// The simulated workers of a test.
class SimulatedWorkers {
public:
    using Reply = std::function<void(const WorkerReply&)>;

    // The seed decides on the clocks of the workers' processes.
    SimulatedWorkers(Timeline& timeline, RandomSource& random, BatchStore& store, std::uint64_t clockSeed = 1);

    // Adds a worker that writes its entry to the store. Its address is its name if none is given.
    void add(
        const std::string& name, const std::string& rack, const Resources& capacity, const std::string& address = "");
    // Moves the worker to another data centre, which its entry names from now on.
    void setDataCentre(const std::string& name, const std::string& dataCentre);
    // Delivers a call; replies once, at the latest with a failure after the timeout.
    void call(const WorkerCall& call, Reply reply);

    // Set how long tasks with the payload run, and whether the runs that start from now on fail.
    void setRunTime(const std::string& payload, absl::Duration time) { m_runTimes[payload] = time; }
    void setFailing(const std::string& payload, bool isFailing = true);

    // While it is cut off, no call reaches the worker and no reply is returned; its runs go on.
    void setCutOff(const std::string& name, bool isCutOff) { m_workers.at(name).isCutOff = isCutOff; }
    // Cuts the worker off from the nodes and from the store without a sign, or ends that: its runs go on, and its entry
    // is removed once it has been silent for the entry timeout, and written again at the end.
    void setPartitioned(const std::string& name, bool isPartitioned);
    // Cuts the worker off from the nodes and from the store: calls to it are refused at its address and pending polls
    // are broken off, its runs go on, and its entry is removed once it has been silent for the entry timeout.
    void isolate(const std::string& name);
    // Ends the worker's process and starts another one under the same name, which writes its entry after the time.
    void restart(const std::string& name, absl::Duration untilReport = absl::ZeroDuration());
    // As above, but the process ends without a word: pending polls get no reply.
    void losePower(const std::string& name, absl::Duration untilReport);
    // As `losePower`, but the new process has this capacity and, instead of the label "a", this one.
    void restartAs(const std::string& name, const Resources& capacity, const std::string& label,
        absl::Duration untilReport = absl::ZeroDuration());
    // Removes the worker's entry, as an outage of the store may, and writes it again after the time.
    void loseEntry(const std::string& name, absl::Duration untilWritten);
    // Ends the worker's process without a word. Calls are refused until another one starts under the same name after
    // the time, and what arrives meanwhile is lost.
    void crash(const std::string& name, absl::Duration untilStart);
    // Ends the worker's process without a word. After the time another worker starts at its address, cut off like it.
    // From then on calls for the replaced worker are refused there, and what is still on its way to it is lost.
    void replace(const std::string& name, const std::string& successor, absl::Duration untilStart);
    // Whether there is, or was, a worker of this name.
    bool has(const std::string& name) const { return m_workers.contains(name); }
    // Ends the worker that has replaced this one without a word, and starts this one again under its name.
    // Returns false and does nothing if that worker was replaced itself, or there is none.
    bool returnReplaced(const std::string& name);
    // While it is misdirected, calls for the worker are refused as by another process at its address; its runs go on.
    void setMisdirected(const std::string& name, bool isMisdirected);
    // Ends every cut and partition of a worker.
    void reconnectAll();
    // Marks the worker as draining; it is gone after the time.
    void drain(const std::string& name, absl::Duration after);
    // Sets the share of commands that get no reply and are executed seconds later, by whichever process the worker has
    // then, also if the worker is cut off: such a command has reached its machine already.
    void setLateCommands(double share) { m_lateCommands = share; }
    // Sets the share of commands that are executed at once and get no reply.
    void setLostReplies(double share) { m_lostReplies = share; }
    // Sets the share of starts that are refused by a worker that is unhealthy just then.
    void setRefusals(double share) { m_refusals = share; }
    // Sets the longest time that a command, and its reply, is under way, so that they overtake each other.
    void setLongestTransit(absl::Duration transit) { m_longestTransit = transit; }
    // The next starts that are sent to this worker, so many, get no reply and are executed after the longest delay, by
    // whichever process the worker has then.
    void delayNextStarts(const std::string& name, int count) { m_delayedStarts[name] = count; }
    // The next start gets no reply. Its worker refuses all further starts, and is unhealthy, until it is restarted; its
    // next process executes the start first of all.
    void outliveNextStart() { m_isNextStartOutlived = true; }
    // The worker of the start that was sent then; empty if none was sent.
    std::string workerOfOutlivedStart() const;
    // The next renewal of this worker's lease gets no reply. It is executed at `executeKeptRenewal`, by whichever
    // process the worker has then.
    void keepNextRenewal(const std::string& name) { m_renewalKeptOf = name; }
    bool hasKeptRenewal() const { return m_keptRenewal.has_value(); }
    void executeKeptRenewal();
    // Let the workers break their own rules: to refuse a smaller epoch, and to refuse the start of a run that was
    // stopped.
    void setObeysAnyEpoch(bool obeysAnyEpoch) { m_obeysAnyEpoch = obeysAnyEpoch; }
    void setForgetsStops(bool forgetsStops) { m_forgetsStops = forgetsStops; }
    // Let the workers break the platform's rules: to execute a command longer after its arrival than they may, and to
    // execute a start that they have replied to once more, seconds later.
    void setLongestDelay(absl::Duration delay) { m_longestDelay = delay; }
    void setRepeatsStarts(bool repeatsStarts) { m_repeatsStarts = repeatsStarts; }
    // Lets workers go on with what they run once another one has taken over their address, which no worker can.
    void setOutlivesTakeover(bool outlivesTakeover) { m_outlivesTakeover = outlivesTakeover; }

    // All runs so far, in order of their starts.
    const std::vector<RecordedRun>& recordedRuns() const { return m_recordedRuns; }
    // The number of completed runs of the task.
    int doneCount(const TaskKey& task) const;
    // The number of started runs of the job.
    int startCount(const std::string& job) const;
    // The recorded violations: a task that runs twice at a time, a start after a completed run, or after as many failed
    // runs as its job allows, whose ends were acknowledged then or later, a start on a worker without the required
    // label, and a worker over its capacity.
    std::vector<std::string> violations() const;
    // The number of gang members that ended because the other members did not start in time.
    int aloneCount() const;
    // The number of polls so far.
    int pollCount() const { return m_pollCount; }
    // The number of calls so far that named no address; they reach no worker.
    int unaddressedCallCount() const { return m_unaddressedCalls; }

private:
    // A run in progress; `recordIndex` is its index in `m_recordedRuns`.
    struct Running {
        std::size_t recordIndex = 0;
        // How long the task works, and since when: a member of a gang only from the moment when all are present.
        absl::Duration work;
        absl::Time begunAt = absl::InfiniteFuture();
        bool fails = false;
        Resources demand;
    };

    // A poll that waits for a run to end.
    struct PendingPoll {
        std::uint64_t id = 0;
        Reply reply;
    };

    struct Worker {
        WorkerEntry entry;
        bool isCutOff = false;
        // Cut off from the nodes and from the store, since then.
        bool isPartitioned = false;
        absl::Time partitionedAt = absl::InfinitePast();
        bool isGone = false;
        // No process has the worker's name just now.
        bool isDown = false;
        bool isMisdirected = false;
        // The worker that has taken over the address; empty if there is none.
        std::string successor;
        // Calls to the address are refused, although the worker runs on.
        bool isIsolated = false;
        Epoch epoch = 0;
        absl::Time leaseUntil = absl::InfinitePast();
        absl::Time startedAt;
        // The process' clock as it starts, and how fast it goes.
        WorkerMillis clockOrigin = 0;
        double clockRate = 1;
        std::int64_t lastEnd = 0;
        std::map<RunKey, Running> running;
        // The last attempt of each task that was stopped or has ended; it and earlier ones are refused.
        std::map<TaskKey, std::int32_t> barred;
        std::vector<EndedRow> ends;
        // The index of the recorded run of each end.
        std::map<std::int64_t, std::size_t> runOfEnd;
        std::vector<PendingPoll> polls;
    };

    // Delivers a call that has reached the worker's machine.
    void receive(const WorkerCall& call, const Reply& reply);
    // How long a command or a reply is under way.
    absl::Duration transit();
    // Whether a fault with this share happens now.
    bool happens(double share);
    WorkerReply carryOut(Worker& worker, const WorkerCall& call);
    // Refuses a call that meets the successor of its worker, if that one can be reached.
    void refuseAtSuccessor(const Worker& worker, const Reply& reply);
    // Keeps the call for the worker's next process if it is the start that is to outlive the present one.
    bool tryOutlive(const WorkerCall& call);
    // Keeps the call if it is the renewal that is to be executed later.
    bool tryKeepRenewal(const WorkerCall& call);
    void start(Worker& worker, const StartRun& start, WorkerReply& reply);
    // Lets the task of the run work from now on.
    void begin(const std::string& name, const RunKey& run);
    // The step of the run if it is a gang; null otherwise.
    const StepSpec* gangStepOf(const RunKey& run) const;
    // The workers that have the members of the gang's attempt which run now, with the runs.
    std::vector<std::pair<std::string, RunKey>> membersOf(const RunKey& run) const;
    // Lets the gang work if all members of this attempt are present; otherwise the run waits for them for a while.
    void joinGang(const std::string& name, const RunKey& run, std::int32_t memberCount);
    void giveUpWaiting(const std::string& name, std::int64_t processStartMs, const RunKey& run);
    // Ends the other members of the gang's attempt.
    void breakGang(const RunKey& run);
    void stop(Worker& worker, const StopRun& stop);
    void poll(Worker& worker, const PollRuns& poll, const Reply& reply);
    // Executes a command seconds later, unless its worker has left by then.
    void delay(const WorkerCall& call);
    void executeAfter(const WorkerCall& call, absl::Duration lateness);
    // Delays the call if it is one of the starts that are to get no reply.
    bool tryDelayStart(const WorkerCall& call);
    void executeLate(Worker& worker, const WorkerCall& call);
    // Forgets the ends that the poll acknowledges.
    void acknowledge(Worker& worker, const PollRuns& poll);
    void acknowledgeEnds(Worker& worker, std::int64_t acknowledged);
    void markEndsForgotten(Worker& worker);
    void answerPolls(Worker& worker);
    void breakPolls(Worker& worker);
    std::int32_t percentOf(const Running& running) const;
    WorkerReply report(const Worker& worker) const;
    void finish(const std::string& name, std::int64_t processStartMs, const RunKey& run);
    void end(Worker& worker, const RunKey& run, RunEnd endKind);
    void expireLease(Worker& worker);
    void endAllRuns(Worker& worker, RunEnd endKind);
    void writeEntry(const Worker& worker);
    // Removes the entry of a process that reports no more, unless another one has started by then.
    void expireEntry(const std::string& name, std::int64_t processStartMs);
    void checkStartRules(const Worker& worker, const StartRun& start, const Resources& demand);
    // The job of the task, by the store; null if the store has none.
    const Job* jobOf(const TaskKey& task) const;
    // Adds the starts that came after the end of their task was settled: it was done, or had no attempt left.
    void addNeedlessStarts(std::vector<std::string>& violations) const;
    // Gives the worker's new process a clock of its own.
    void startClock(Worker& worker);
    WorkerMillis clockOf(const Worker& worker) const;
    // When the worker's clock shows this.
    absl::Time timeOf(const Worker& worker, WorkerMillis clock) const;
    Resources demandOf(const RunKey& run) const;

    Timeline& m_timeline;
    RandomSource& m_random;
    SeededRandom m_clocks;
    BatchStore& m_store;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, absl::Duration> m_runTimes;
    std::set<std::string> m_failing;
    double m_lateCommands = 0;
    double m_lostReplies = 0;
    double m_refusals = 0;
    absl::Duration m_longestTransit = absl::ZeroDuration();
    bool m_isNextStartOutlived = false;
    absl::optional<WorkerCall> m_outlivedStart;
    // How many starts are still to be delayed, by worker.
    std::map<std::string, int> m_delayedStarts;
    std::string m_renewalKeptOf;
    absl::optional<WorkerCall> m_keptRenewal;
    bool m_obeysAnyEpoch = false;
    bool m_forgetsStops = false;
    absl::Duration m_longestDelay = absl::Seconds(12);
    bool m_repeatsStarts = false;
    bool m_outlivesTakeover = false;
    std::vector<RecordedRun> m_recordedRuns;
    std::vector<std::string> m_violations;
    int m_pollCount = 0;
    int m_unaddressedCalls = 0;
    std::uint64_t m_lastPollId = 0;
};

} // namespace mangohall::batch
