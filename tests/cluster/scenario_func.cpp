#include "cluster/scenario_func.h"

#include "core/error_func.h"
#include "job/job_ledger_base.h"
#include "gtest/gtest.h"

namespace mangohall {

void expectAnswerMatchesExecutions(const Cluster& cluster, CallerId caller, const std::string& organisation,
    const std::string& key, const std::string& scenario)
{
    const int executions = cluster.executionsOf(organisation, key);
    EXPECT_LE(executions, 1) << scenario;
    const CallerLog& log = cluster.log(caller);
    if (log.answers.empty())
        return;
    const ErrorKind kind = cluster.kindOf(caller);
    const Execution reportedExecution = errorRow(kind).execution;
    if (reportedExecution == Execution::Ran) {
        EXPECT_EQ(executions, 1) << scenario << " was answered " << errorRow(kind).name;
    }
    if (reportedExecution == Execution::NotRun) {
        EXPECT_EQ(executions, 0) << scenario << " was answered " << errorRow(kind).name;
    }
}

std::string homeShardOwner(const Cluster& cluster, const std::string& organisation, const std::string& key)
{
    return cluster.ownerOf(homeShardOf({ OrganisationName(organisation), key }).str());
}

} // namespace mangohall
