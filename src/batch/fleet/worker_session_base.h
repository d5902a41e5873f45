// The aggregate of one worker as the owner knows it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/fleet/worker_health_base.h"
#include "batch/fleet/worker_type.h"

namespace mangohall::batch {

struct SessionSettings {
    // The longest lease that a worker grants.
    absl::Duration maxLease = absl::Seconds(10);
    // How long a look waits for an end.
    absl::Duration lookWait = absl::Milliseconds(700);
};

// A run that takes room on a worker.
struct RunSlot {
    enum class Stage {
        // Room is kept; the worker has not been told.
        Reserved,
        // An earlier owner may have started it.
        Adopted,
        // Told to the worker, without an answer yet.
        Starting,
        Running,
    };
    Stage stage = Stage::Reserved;
    Resources demand;
    absl::Time since;
    // When the worker was last told to start and to stop it.
    absl::Time startToldAt = absl::InfinitePast();
    absl::Time stopToldAt = absl::InfinitePast();
    bool isStartOut = false;
    bool isStopOut = false;
    // When the worker last confirmed a start or a stop of the run.
    absl::Time confirmedAt = absl::InfiniteFuture();
    bool isStopWanted = false;
    bool isStopConfirmed = false;
    // A start without an answer may still be carried out.
    bool hasOpenStart = false;
    std::int32_t percent = 0;
    // When the worker first showed it that far.
    absl::Time movedAt = absl::InfiniteFuture();
};

// A run that takes no room any more.
struct EndedRun {
    RunKey run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
    // Its number in the worker's list; 0 if the worker has not listed it.
    std::int64_t number = 0;
};

// What a reply has told.
struct SessionNews {
    std::vector<EndedRun> ended;
    std::vector<RunningRow> running;
    // Another owner has a larger epoch.
    bool isFenced = false;
    // The worker was heard of for the first time, or again after silence.
    bool isRegained = false;
    // The worker has not answered where it did before.
    bool isLost = false;
};

// What a call was about, to make sense of its reply.
struct SessionCall {
    enum class Kind {
        Start,
        Stop,
        Look,
    };
    Kind kind = Kind::Look;
    RunKey run;
    absl::Time sentAt;
    std::int64_t bornMs = 0;
};

// A call that is due. The payload and checkpoint of a start are filled in by whoever knows the job.
struct DueCall {
    SessionCall about;
    WorkerCall call;
};

// One worker: which runs take its room, how long its lease may reach, and what it has to be asked. A run leaves only
// when the worker has shown that it is over and cannot start any more, or when its lease must have lapsed. Not safe to
// call from several threads.
class WorkerSession {
public:
    WorkerSession(WorkerEntry entry, Epoch epoch, SessionSettings settings);

    const WorkerEntry& entry() const { return m_entry; }
    WorkerHealth& health() { return m_health; }
    const WorkerHealth& health() const { return m_health; }
    const absl::btree_map<RunKey, RunSlot>& runs() const { return m_runs; }

    // Takes a new row of the worker list. Returns the runs that ended with the process that had the name before.
    std::vector<EndedRun> update(const WorkerEntry& entry, absl::Time now);
    // The worker is no longer listed.
    void noteUnlisted() { m_isListed = false; }
    bool isListed() const { return m_isListed; }
    // By when a draining worker may be gone; the infinite future for one that stays.
    absl::Time leavesAt() const { return m_leavesAt; }
    // The look that is out may still list ends.
    bool isForgettable() const { return !m_isListed && m_runs.empty() && !m_isLookOut; }

    // Whether the worker has answered under this owner's epoch.
    bool isSettled() const { return m_isSettled; }
    // Whether new runs may be started there.
    bool takesWork(absl::Time now) const;

    Resources freeRoom() const;
    // What is free once every run that is being stopped has ended.
    Resources roomAfterStops() const;

    // Keeps room for a run that is not durable yet.
    void reserve(const RunKey& run, const Resources& demand, absl::Time now);
    // The run may be told to the worker from now on.
    void release(const RunKey& run, absl::Time now);
    // Keeps room for a run that an earlier owner may have started. A larger epoch has to be shown to the worker first.
    void adopt(const RunKey& run, const Resources& demand, absl::Time now);
    // Wants a run stopped. A run that the worker was never told of is dropped at once.
    absl::optional<EndedRun> stop(const RunKey& run, absl::Time now);
    bool isStopWanted(const RunKey& run) const;
    // Says what a run takes that was found on the worker.
    void setDemand(const RunKey& run, const Resources& demand);

    // Ends up to and including this one are durable.
    void noteDurableEnd(std::int64_t number);

    // The calls that have to be made now. Each counts as sent.
    std::vector<DueCall> takeDueCalls(absl::Time now);
    // When to ask again for due calls, unless something else happens.
    absl::Time nextDue() const;

    SessionNews takeReply(const SessionCall& about, const WorkerReply& reply, absl::Time now);

    // How long a run goes on, by how far it has come so far; infinite if that cannot be told.
    static absl::Duration remainingOf(const RunSlot& slot, absl::Time now);

    // Runs that have not moved for so long that something must be wrong with them or the worker.
    std::vector<RunKey> standingRuns(absl::Time now) const;

    // Runs whose lease must have lapsed on a worker that does not answer.
    std::vector<EndedRun> takeLapsed(absl::Time now);

private:
    void takeStartReply(const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news);
    void takeStopReply(const SessionCall& about, const WorkerReply& reply, absl::Time now);
    void takeLookReply(const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news);
    void noteSilence(const absl::Status& status, SessionNews& news);
    bool hasLeft() const;
    void noteAnswer(const SessionCall& about, const WorkerReply& reply, absl::Time now, SessionNews& news);
    void noteProcess(std::int64_t bornMs, std::vector<EndedRun>& ended);
    std::vector<EndedRun> endAll(RunEnd end);
    std::vector<EndedRun> endConfirmed();
    void barOpenStarts();
    void noteOpenStart(const SessionCall& about, absl::Time now);
    void takeRunning(const RunningRow& row, absl::Time now);
    void takeEnded(const EndedRow& row, SessionNews& news);
    void dropAbsent(const SessionCall& about, const WorkerReply& reply, SessionNews& news);
    bool isLookDue(absl::Time now) const;
    absl::Time lookDueAt() const;
    bool hasLiveRuns() const;
    absl::Duration nextLookWait() const;
    DueCall makeLook(absl::Time now);
    DueCall makeRunCall(SessionCall::Kind kind, const RunKey& run, absl::Time now);
    WorkerCall makeCall(absl::Duration timeout) const;
    WorkerMillis leaseUntil(absl::Time now) const;
    void noteLease(absl::Time now);
    absl::Time dueAt(const RunSlot& slot) const;

    WorkerEntry m_entry;
    WorkerHealth m_health;
    absl::Time m_leavesAt = absl::InfiniteFuture();
    const Epoch m_epoch;
    const SessionSettings m_settings;
    bool m_isListed = true;
    bool m_isSettled = false;
    absl::btree_map<RunKey, RunSlot> m_runs;

    // The worker's clock as of its last answer.
    WorkerMillis m_clock = 0;
    absl::Time m_clockReadAt = absl::InfinitePast();
    // Until when, on our clock, anything told so far may let a run go on.
    absl::Time m_leaseBound = absl::InfinitePast();

    // Starts without an answer, with the time at which they were sent.
    absl::btree_map<RunKey, absl::Time> m_openStarts;

    bool m_isLookOut = false;
    absl::Time m_lookedAt = absl::InfinitePast();
    int m_silences = 0;
    // The last call found nobody at the address.
    bool m_isUnreachable = false;
    // After a refusal nothing new is sent until then.
    absl::Time m_refusedUntil = absl::InfinitePast();
    // Ends that the worker lists, and whether each is durable.
    std::map<std::int64_t, bool> m_ends;
    std::int64_t m_acknowledgedEnd = 0;
    std::int64_t m_toldAcknowledgedEnd = 0;
};

} // namespace mangohall::batch
