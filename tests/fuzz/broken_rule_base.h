// Rules broken on purpose, in the fakes only, to show that the oracles see it.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/types/optional.h"
#include "cluster/cluster_base.h"

namespace mangohall {

// Obeys a caller of any epoch.
class UnfencedConduct : public WorkerConduct {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerCall newest = call;
        newest.fence.epoch = std::numeric_limits<Epoch>::max();
        return worker.handle(newest);
    }
};

// Starts a task twice that it is told to start once.
class StartingTwiceConduct : public WorkerConduct {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerReport report = worker.handle(call);
        if (const auto* start = std::get_if<StartTask>(&call.command))
            startAgain(worker, call, *start);
        return report;
    }

private:
    // The worker is a sound one, so the second run goes by another attempt's id.
    static void startAgain(WorkerState& worker, const WorkerCall& call, const StartTask& start)
    {
        constexpr int otherAttempts = 1000;
        WorkerCall again = call;
        StartTask other = start;
        other.task.attempt += otherAttempts;
        other.isPrepared = false;
        again.command = other;
        worker.handle(again);
    }
};

// Lets a task of a gang run before the gang is whole.
class EarlyReleaseConduct : public WorkerConduct {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerCall early = call;
        if (auto* start = std::get_if<StartTask>(&early.command))
            start->isPrepared = false;
        return worker.handle(early);
    }
};

// Says of a task that was lost with its process that it never started.
class ForgetfulConduct : public WorkerConduct {
public:
    WorkerReport handle(WorkerState& worker, const WorkerCall& call) override
    {
        WorkerReport report = worker.handle(call);
        std::string& first = m_incarnations.try_emplace(report.worker, report.incarnation).first->second;
        if (const auto* start = std::get_if<StartTask>(&call.command))
            m_tasks[start->task] = { call.fence.shard, report.worker };
        const bool isRestarted = first != report.incarnation;
        if (isRestarted && std::holds_alternative<Heartbeat>(call.command))
            denyLost(call.fence.shard, report);
        if (isRestarted)
            report.incarnation = first;
        return report;
    }

private:
    struct Place {
        ShardName shard;
        WorkerName worker;
    };

    void denyLost(const ShardName& shard, WorkerReport& report) const
    {
        for (const auto& [id, place] : m_tasks) {
            if (place.shard != shard || place.worker != report.worker)
                continue;
            TaskReport denial;
            denial.task = id;
            denial.state = TaskState::NeverStarted;
            report.tasks.push_back(denial);
        }
    }

    std::map<WorkerName, std::string> m_incarnations;
    std::map<TaskId, Place> m_tasks;
};

// Gives a caller what the one before it was told.
class SwappingRoute : public AnswerRoute {
public:
    AnswerEffect pass(const AnswerEffect& answer) override
    {
        constexpr int swapEvery = 5;
        AnswerEffect passed = answer;
        if (!std::holds_alternative<JobAnswer>(answer.answer))
            return passed;
        if (m_last && ++m_count % swapEvery == 0)
            passed.answer = *m_last;
        m_last = answer.answer;
        return passed;
    }

private:
    int m_count = 0;
    absl::optional<CallerAnswer> m_last;
};

// Reads every other list of resources as it once was.
class TurningBackRoute : public AnswerRoute {
public:
    AnswerEffect pass(const AnswerEffect& answer) override
    {
        AnswerEffect passed = answer;
        if (!std::holds_alternative<ConfigListAnswer>(answer.answer))
            return passed;
        if (!m_first)
            m_first = answer.answer;
        if (++m_count % 2 == 0)
            passed.answer = *m_first;
        return passed;
    }

private:
    int m_count = 0;
    absl::optional<CallerAnswer> m_first;
};

// Loses the results of some answers.
class CuttingRoute : public AnswerRoute {
public:
    AnswerEffect pass(const AnswerEffect& answer) override
    {
        constexpr int cutEvery = 3;
        AnswerEffect passed = answer;
        if (auto* job = std::get_if<JobAnswer>(&passed.answer); job != nullptr && ++m_count % cutEvery == 0)
            job->status.results.clear();
        return passed;
    }

private:
    int m_count = 0;
};

} // namespace mangohall
