// Plain types of a run on one worker, from the owner's point of view.
#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// From what the owner has concluded that a run no longer uses capacity of its worker.
enum class EndEvidence {
    // The worker lists the end.
    Listed,
    // The worker's reply to a poll lists the run neither as running nor as ended.
    AbsentFromPoll,
    // The worker has refused the start.
    StartRefused,
    // No start was sent, or it did not reach the worker.
    NeverSent,
    // Another process of the worker has replaced the one that had confirmed the run.
    ProcessReplaced,
    // Another worker has taken over the address of the worker.
    AddressTakenOver,
    // The worker has left after it had drained.
    WorkerLeft,
    // All leases that were granted to the worker must have expired.
    LeaseExpired,
};

// A run that no longer uses capacity of its worker.
struct EndedRun {
    RunKey run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
    // The sequence number in the worker's list of ends; 0 if the worker's present process does not list the end.
    std::int64_t number = 0;
    EndEvidence evidence = EndEvidence::Listed;
    // For an expired lease: the time since the last command was sent that might have renewed it.
    absl::Duration leaseAge = absl::InfiniteDuration();
};

// A run that uses capacity of a worker, with the state of its start and stop commands. Starts that may still be
// executed stand in the session's `OutstandingCommands`; only the present process refuses them once it has shown the
// run or has confirmed a stop.
struct RunSlot {
    enum class Stage {
        // The capacity is reserved, but the placement is not durable yet and no start has been sent.
        Reserved,
        // An earlier owner may have started the run.
        Adopted,
        // The run may be sent to the worker, which has not confirmed its start yet.
        Starting,
        // The worker has confirmed the start, or has listed the run as running.
        Running,
        // The worker has listed the end, and its next process may still execute a start.
        Ended,
    };
    Stage stage = Stage::Reserved;
    // The resources that the run uses.
    Resources demand;
    // When the run was reserved, released, first sent or adopted, or when its stop was requested.
    absl::Time since;
    // When the last start and the last stop command were sent.
    absl::Time startSentAt = absl::InfinitePast();
    absl::Time stopSentAt = absl::InfinitePast();
    // How many start commands were sent whose calls have not ended.
    int pendingStarts = 0;
    // The start was sent more than once, so that two processes may have executed it.
    bool isStartRepeated = false;
    // A stop command was sent and its call has not ended.
    bool isStopPending = false;
    // The stop commands without a reply since the worker last replied to a poll after it had been silent.
    int unansweredStops = 0;
    // When the worker last confirmed a start or a stop of the run.
    absl::Time confirmedAt = absl::InfiniteFuture();
    // The start, in Unix milliseconds, of the process that the run was placed on. The start is repeated there only.
    std::int64_t placedProcessStartMs = 0;
    // The start, in Unix milliseconds, of the process that has shown the run: it has listed the run as running, or was
    // named in the reply to the start. 0 while no reply names it.
    std::int64_t processStartMs = 0;
    // The same, but also of a process whose reply to the start names none and has the clock that was expected of it.
    std::int64_t likelyProcessStartMs = 0;
    // The present process has shown the run: by a list, or by its reply to a start.
    bool isShown = false;
    // The owner wants the run stopped.
    bool isStopWanted = false;
    // The worker's present process has confirmed a stop command: it refuses a start that arrives later.
    bool isStopConfirmed = false;
    // In stage Ended, the end that the worker has listed.
    EndedRun end;
    // Progress in percent, 0 to 100.
    std::int32_t percent = 0;
    // When the worker first reported the present percentage.
    absl::Time percentChangedAt = absl::InfiniteFuture();
    // The first percentage that was seen, and when. A run that an earlier owner had started, or that has resumed from a
    // checkpoint, begins with any.
    std::int32_t firstPercent = 0;
    absl::Time firstPercentAt = absl::InfiniteFuture();
    // By when the record of the task says that the run has ended if the worker stays silent; the infinite future if it
    // says nothing. Until that is withdrawn, the worker gets nothing that could lengthen the run.
    absl::Time recordedLapse = absl::InfiniteFuture();
    // The record without it is still to be written.
    bool isLapseWithdrawalPending = false;
    // The start is stopped since the worker has not confirmed it, and that is not logged yet.
    bool isGivenUp = false;
    // When the session has sent the start; the infinite past for a run that it has not started.
    absl::Time begunAt = absl::InfinitePast();

    // No start was sent for the run.
    bool isUnsent() const
    {
        return stage == Stage::Reserved || (stage == Stage::Starting && startSentAt == absl::InfinitePast());
    }
    // Records that another process has replaced the one that may have shown the run; the new one may still start it.
    void restartUnknown()
    {
        isShown = false;
        processStartMs = 0;
        likelyProcessStartMs = 0;
        // A stop that the old process has confirmed does not bar the run at the new one.
        isStopConfirmed = false;
        confirmedAt = absl::InfiniteFuture();
        if (stage == Stage::Ended) {
            end.number = 0;
            isStopWanted = isStopWanted || end.end == RunEnd::Done;
        } else {
            stage = Stage::Starting;
        }
    }
};

} // namespace mangohall::batch
