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

namespace mangohall::batch {

// The tasks of one step that may start now. A gang's tasks start all or not at all.
struct ReadyStep {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::vector<std::int32_t> indices;
};

// Which tasks of a job wait, run and are done, and what its caller is told. Keeps the rules of order, attempts and
// gangs; what it changes has to be made durable before anybody acts on it. Not safe to call from several threads.
class JobProgress {
public:
    explicit JobProgress(Job job);

    // Takes over what an earlier owner has written. False if that is no progress of this job; nothing changes then.
    bool restore(ProgressRecord record);

    const Job& job() const { return m_job; }
    const ProgressRecord& record() const { return m_record; }
    JobPhase phase() const { return m_record.phase; }
    bool isFinal() const;
    bool hasPlacedTasks() const { return !placedTasks().empty(); }

    // Opens the occurrences that are due. True if one was opened.
    bool openDue(absl::Time now);
    // When the next occurrence is due; the infinite future if none is left.
    absl::Time nextDue() const;

    // The steps with tasks that may start; none once the job is final.
    std::vector<ReadyStep> readySteps() const;

    const StepSpec& stepSpec(std::int32_t step) const { return m_job.spec.steps[static_cast<std::size_t>(step)]; }
    // The task, or nothing if the job has none of that name.
    const TaskProgress* find(const TaskRef& task) const;

    // The number that the next start of the task gets. All tasks of a gang share it.
    std::int32_t nextAttempt(const TaskRef& task) const;

    // The tasks that may be running somewhere.
    std::vector<TaskRef> placedTasks() const;

    // Notes that an attempt of a waiting task is placed on the worker.
    void place(const TaskRef& task, std::int32_t attempt, const WorkerName& worker, std::int64_t workerBornMs);

    // Takes the end of a run. An end of an attempt that is not the task's last changes nothing unless it is done.
    // True if anything has changed.
    bool noteEnd(const TaskRef& task, std::int32_t attempt, RunEnd end, absl::string_view checkpoint, absl::Time now);

    // Takes a checkpoint of a run that goes on; it is not durable until something else is.
    void noteCheckpoint(const TaskRef& task, std::int32_t attempt, absl::string_view checkpoint);

    // Cancels a job that is not final. True if it was not.
    bool cancel(absl::Time now);

    // Whether the run is the one that the job wants where it is.
    bool wants(const TaskRef& task, std::int32_t attempt, const WorkerName& worker) const;

    // The estimated length of the longest chain of steps.
    absl::Duration chainEstimate() const;

private:
    OccurrenceProgress* findOccurrence(std::int32_t number);
    const OccurrenceProgress* findOccurrence(std::int32_t number) const;
    TaskProgress* findTask(const TaskRef& task);
    StepProgress* findStep(const TaskRef& task);
    const StepProgress* findStep(const TaskRef& task) const;
    void openOccurrence(std::int32_t number);
    absl::Time dueOf(std::int32_t occurrence) const;
    std::int32_t occurrenceCount() const;
    std::vector<std::int32_t> waitingTasks(const OccurrenceProgress& occurrence, std::size_t step) const;
    bool mayStart(const OccurrenceProgress& occurrence, std::size_t step) const;
    void finishTask(const TaskRef& task);
    void releaseTask(const TaskRef& task, RunEnd end, absl::string_view checkpoint, absl::Time now);
    void keepCheckpoint(const TaskRef& task, absl::string_view checkpoint);
    void noteFailure(const TaskRef& task, absl::Time now);
    void completeIfDone(absl::Time now);
    void makeFinal(JobPhase phase, absl::Time now);

    const Job m_job;
    ProgressRecord m_record;
};

} // namespace mangohall::batch
