// Checks the answers to callers about jobs against the executions on workers.
#pragma once

#include "absl/types/optional.h"
#include "fuzz/observed_history_type.h"

namespace mangohall {

// A simple reference model of the jobs, built from the requests and answers of callers and from what workers recorded.
class JobOracle {
public:
    explicit JobOracle(const ObservedHistory& observed);

    // Checks everything that has to hold at any time.
    Findings check() const;
    // Checks in addition what has to hold once all faults have ended and all jobs had time to finish.
    Findings checkQuiet() const;
    // Returns the jobs whose end had been reported to a caller by the time.
    std::set<JobKey> endedBy(absl::Time time) const;

private:
    // A job status that a caller received.
    struct ReportedStatus {
        CallerId caller = 0;
        JobStatus status;
        absl::Time at;
    };

    // Everything that callers and workers know of one job.
    struct History {
        // The body of each submission.
        std::vector<JobSpec> bodies;
        int submits = 0;
        // Whether any caller received a job status.
        bool isAcknowledged = false;
        std::vector<ReportedStatus> reported;
        // Requests that were answered with an error.
        std::vector<std::pair<CallerId, ErrorKind>> refusals;
        // Executions of all tasks in all attempts.
        std::vector<TaskExecution> executions;
        std::vector<TaskStart> starts;
    };

    void recordCaller(CallerId caller, const CallerLog& log);
    void checkAnswers(const JobKey& key, const History& history, Findings& findings) const;
    void checkOutcome(
        const JobKey& key, const History& history, const ReportedStatus& reported, Findings& findings) const;
    void checkRefusals(const JobKey& key, const History& history, Findings& findings) const;
    void checkExecutions(const JobKey& key, const History& history, Findings& findings) const;
    void checkGangs(const JobKey& key, const History& history, Findings& findings) const;
    void checkEpochs(Findings& findings) const;

    const ObservedHistory& m_observed;
    std::map<JobKey, History> m_jobs;
    // Findings made while the requests and answers were recorded.
    Findings m_recordingFindings;
};

} // namespace mangohall
