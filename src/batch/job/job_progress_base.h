// The aggregate of one job's progress.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/job/job_type.h"
#include "batch/job/progress_record_type.h"
#include "batch/job/record_limits_type.h"

namespace mangohall::batch {

// The tasks of one step that may start now. The tasks of a gang start all together or not at all.
struct ReadyStep {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    // The indices of the waiting tasks within the step.
    std::vector<std::int32_t> indices;
};

// The step of an occurrence at which a search for ready steps goes on, by their positions.
struct ReadyCursor {
    std::size_t occurrence = 0;
    std::size_t step = 0;
};

// Tracks which tasks of a job are waiting, placed and done, and the phase that is reported to the caller. Enforces the
// order of steps, the limit of failures and the rules of gangs. A change has to be written to the store before it is
// acted on. Not thread-safe.
class JobProgress {
public:
    explicit JobProgress(Job job, const RecordLimits& limits = {});

    // Replaces the progress by a record that an earlier owner wrote. Returns false and changes nothing if the record
    // does not match the job's specification.
    bool restore(ProgressRecord record);

    const Job& job() const { return m_job; }
    const ProgressRecord& record() const { return m_record; }
    JobPhase phase() const { return m_record.phase; }
    // Whether the job is completed, failed or aborted.
    bool isFinal() const;
    // Whether a task may be running on a worker.
    bool hasPlacedTasks() const { return !placedTasks().empty(); }

    // Adds the occurrences that are due, with all their tasks waiting. Returns whether there was one.
    bool openDueOccurrences(absl::Time now);
    // The time at which the next occurrence is due; the infinite future if none is left or the job is final.
    absl::Time nextDue() const;

    // The steps that have tasks which may start; none once the job is final. Of tasks that were never placed there are
    // only as many as may be open at a time, so that the record of a job with many tasks keeps its limits.
    std::vector<ReadyStep> readySteps() const;
    // The same for at most `most` steps. The search begins at the cursor and goes round, and leaves the cursor where
    // the next call has to go on: at the first step, unless there were more. Not all steps of a job with many are
    // needed at a time, and each of them takes memory.
    std::vector<ReadyStep> readySteps(ReadyCursor& cursor, std::size_t most) const;

    // The number of tasks that have an entry in the record, as they were placed.
    std::int64_t entryCount() const { return m_entryCount; }
    // The size of the record as it is written, at most, in bytes.
    std::int64_t recordBytes() const;
    // Whether the job is final and nothing in its record is needed any more but the phase.
    bool isSettled() const { return batch::isSettled(m_record); }
    // Frees the specification and the progress of a job that is settled.
    void releaseDetails();

    // The specification of the step, which has to exist.
    const StepSpec& stepSpec(std::int32_t step) const { return m_job.spec.steps[static_cast<std::size_t>(step)]; }
    // The progress of the task; null if the job has no such task or its occurrence is not open yet.
    const TaskProgress* find(const TaskRef& task) const;

    // The attempt number of the next start of the task. The tasks of a gang share one number.
    std::int32_t nextAttempt(const TaskRef& task) const;

    // The tasks that may be running on a worker.
    std::vector<TaskRef> placedTasks() const;

    // Records that an attempt of the task is placed on this process of the worker. A pending job becomes active.
    void place(const TaskRef& task, std::int32_t attempt, const WorkerName& worker, const WorkerProcess& process);

    // Records that a worker's process has shown this attempt of the task as started, and whether a start of it may
    // still be executed. A placed task whose process is unknown does not count as shown. Returns whether the record has
    // changed.
    bool recordStarted(const TaskRef& task, std::int32_t attempt, bool mayStartAgain, const WorkerProcess& process);
    // The tasks that are done and of which a start may still be executed.
    std::vector<TaskRef> startableDoneTasks() const;
    // Whether a worker has shown the last attempt of the task as started.
    bool isLastAttemptStarted(const TaskRef& task) const;
    // Records by when the run has ended if its worker stays silent, in Unix milliseconds, or 0 that this is unknown.
    // Does nothing and returns false if the job does not need this attempt of the task on this worker.
    bool recordLapse(const TaskRef& task, std::int32_t attempt, const WorkerName& worker, std::int64_t lapsesByMs);
    // Whether a task of the job has started, as far as a worker has shown it.
    bool hasBegun() const { return m_hasBegun; }
    // Whether every task that depends on no other has been started at least once, as far as a worker has shown it.
    bool haveFirstTasksBegun() const;

    // Records the end of a run. `Done` completes the task, whichever attempt it is, unless the step is long-running.
    // Any other end returns the task to the waiting tasks, but only if this attempt is the one that is placed. Ends of
    // tasks that are done are ignored. The job fails when the task or gang has used up its attempts. Returns whether
    // the progress has changed.
    bool recordEnd(const TaskRef& task, std::int32_t attempt, RunEnd end, absl::string_view checkpoint, absl::Time now);

    // Records a checkpoint of a run that continues, if this attempt is the one that is placed. The checkpoint is
    // written to the store only with the next other change.
    void recordCheckpoint(const TaskRef& task, std::int32_t attempt, absl::string_view checkpoint);

    // Aborts the job. Returns false and changes nothing if the job is final.
    bool cancel(absl::Time now);

    // Whether the job still needs this attempt of the task on this worker. Any other run of the task has to be stopped.
    bool isCurrentRun(const TaskRef& task, std::int32_t attempt, const WorkerName& worker) const;

    // The estimated run time of the longest chain of dependent steps.
    absl::Duration longestChainEstimate() const { return m_longestChainEstimate; }

private:
    // The find and edit functions return null if the job has no such item or the occurrence is not open yet.
    OccurrenceProgress* findOccurrence(std::int32_t number);
    const OccurrenceProgress* findOccurrence(std::int32_t number) const;
    // The task for a change. A change of another task of the step invalidates the pointer.
    TaskProgress* editTask(const TaskRef& task);
    StepProgress* findStep(const TaskRef& task);
    const StepProgress* findStep(const TaskRef& task) const;
    // The tasks that meet the condition.
    template <typename Condition> std::vector<TaskRef> tasksWith(Condition condition) const;
    // Adds the occurrence with all its tasks waiting.
    void openOccurrence(std::int32_t number);
    // The time at which the occurrence is opened; the infinite past for a job without times.
    absl::Time dueTimeOf(std::int32_t occurrence) const;
    // The number of occurrences that the specification asks for; at least 1.
    std::int32_t occurrenceCount() const;
    // The indices of the waiting tasks of the step that may be open: all that were placed before, and others as long as
    // there is room, which is updated. A gang is open as a whole, so there is none left for others if it has no room.
    std::vector<std::int32_t> waitingTasks(
        const OccurrenceProgress& occurrence, std::size_t step, std::int64_t& roomForTasks) const;
    // Whether waiting tasks of the step may start: the steps that it depends on are done, and no member of a gang is
    // still placed.
    bool mayStart(const OccurrenceProgress& occurrence, std::size_t step) const;
    // Marks the task as done; for a gang, all of its members.
    void finishTask(const TaskRef& task);
    // Returns a placed task to the waiting tasks.
    void releaseTask(const TaskRef& task, RunEnd end, absl::string_view checkpoint, absl::Time now);
    // Stores the checkpoint that the task resumes from; for a gang, that of all members. One for which the record has
    // no room is dropped, so that the task resumes from an earlier one.
    void setCheckpoint(const TaskRef& task, absl::string_view checkpoint);
    // Counts the failed attempt of the task, or of its gang unless another member has failed in it before. The job
    // fails when the task or gang has used up its attempts.
    void recordFailure(const TaskRef& task, absl::Time now);
    // Records that the last attempt of the gang has failed, and returns in how many attempts it has.
    std::int32_t countGangFailure(const TaskRef& member);
    // Completes the job if every task of every occurrence is done.
    void completeIfDone(absl::Time now);
    void makeFinal(JobPhase phase, absl::Time now);

    // How many tasks are open: whose entry in the record says more than that it is done, or was never placed.
    std::int64_t countOpenTasks() const;
    // Replaces the checkpoint of one task, and counts its size.
    void replaceCheckpoint(TaskProgress& task, absl::string_view checkpoint);

    Job m_job;
    const RecordLimits m_limits;
    const absl::Duration m_longestChainEstimate;
    ProgressRecord m_record;
    // The number of tasks with an entry in the record.
    std::int64_t m_entryCount = 0;
    // Follow from the record: whether a task has started, and the size of all checkpoints in bytes.
    bool m_hasBegun = false;
    std::int64_t m_checkpointBytes = 0;
};

} // namespace mangohall::batch
