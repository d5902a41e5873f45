// Fakes that deliberately violate a rule, to show that the oracles of the fuzz tests detect the violation.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/types/optional.h"
#include "cluster/cluster_base.h"

namespace mangohall {

// A worker that accepts calls of any epoch.
class UnfencedBehaviour : public WorkerBehaviour {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerCall latest = call;
        latest.fence.epoch = std::numeric_limits<Epoch>::max();
        return worker.handle(latest);
    }
};

// A worker that starts each task twice.
class StartingTwiceBehaviour : public WorkerBehaviour {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerReport report = worker.handle(call);
        if (const auto* start = std::get_if<StartTask>(&call.command))
            startAgain(worker, call, *start);
        return report;
    }

private:
    // The underlying worker starts each task id only once, so the second run uses the id of another attempt.
    static void startAgain(WorkerState& worker, const WorkerCall& call, const StartTask& start)
    {
        constexpr int attemptOffset = 1000;
        WorkerCall again = call;
        StartTask other = start;
        other.task.attempt += attemptOffset;
        other.isPrepared = false;
        again.command = other;
        worker.handle(again);
    }
};

// A worker that runs a task of a gang at once, before all tasks of the gang are prepared.
class EarlyReleaseBehaviour : public WorkerBehaviour {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerCall early = call;
        if (auto* start = std::get_if<StartTask>(&early.command))
            start->isPrepared = false;
        return worker.handle(early);
    }
};

// A worker that, after a restart, keeps its old incarnation and reports the tasks that were lost as never started.
class FalseNeverStartedBehaviour : public WorkerBehaviour {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerReport report = worker.handle(call);
        std::string& first = m_incarnations.try_emplace(report.worker, report.incarnation).first->second;
        if (const auto* start = std::get_if<StartTask>(&call.command))
            m_tasks[start->task] = { call.fence.shard, report.worker };
        const bool isRestarted = first != report.incarnation;
        if (isRestarted && std::holds_alternative<Heartbeat>(call.command))
            reportLostAsNeverStarted(call.fence.shard, report);
        if (isRestarted)
            report.incarnation = first;
        return report;
    }

private:
    // Where a task was started.
    struct Place {
        ShardName shard;
        WorkerName worker;
    };

    void reportLostAsNeverStarted(const ShardName& shard, WorkerReport& report) const
    {
        for (const auto& [id, place] : m_tasks) {
            if (place.shard != shard || place.worker != report.worker)
                continue;
            TaskReport neverStarted;
            neverStarted.task = id;
            neverStarted.state = TaskState::NeverStarted;
            report.tasks.push_back(neverStarted);
        }
    }

    // The first incarnation of each worker.
    std::map<WorkerName, std::string> m_incarnations;
    std::map<TaskId, Place> m_tasks;
};

// Gives every fifth caller of a job request the answer to the preceding one.
class SwappingInterceptor : public AnswerInterceptor {
public:
    AnswerEffect intercept(const AnswerEffect& answer) override
    {
        constexpr int swapInterval = 5;
        AnswerEffect modified = answer;
        if (!std::holds_alternative<JobAnswer>(answer.answer))
            return modified;
        if (m_last && ++m_count % swapInterval == 0)
            modified.answer = *m_last;
        m_last = answer.answer;
        return modified;
    }

private:
    int m_count = 0;
    absl::optional<CallerAnswer> m_last;
};

// Answers every second read of a resource list with the first list that was ever read.
class StaleListInterceptor : public AnswerInterceptor {
public:
    AnswerEffect intercept(const AnswerEffect& answer) override
    {
        AnswerEffect modified = answer;
        if (!std::holds_alternative<ConfigListAnswer>(answer.answer))
            return modified;
        if (!m_first)
            m_first = answer.answer;
        if (++m_count % 2 == 0)
            modified.answer = *m_first;
        return modified;
    }

private:
    int m_count = 0;
    absl::optional<CallerAnswer> m_first;
};

// Removes the results from every third job answer.
class TruncatingInterceptor : public AnswerInterceptor {
public:
    AnswerEffect intercept(const AnswerEffect& answer) override
    {
        constexpr int truncateInterval = 3;
        AnswerEffect modified = answer;
        if (auto* job = std::get_if<JobAnswer>(&modified.answer); job != nullptr && ++m_count % truncateInterval == 0)
            job->status.results.clear();
        return modified;
    }

private:
    int m_count = 0;
};

} // namespace mangohall
