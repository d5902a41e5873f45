// Tests of the encoding of answers as JSON with an HTTP status.
#include "adapters/json/answer_json_func.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

nlohmann::json bodyOf(const CallerAnswer& answer)
{
    return nlohmann::json::parse(encodeAnswer(answer).body);
}

TEST(AnswerJson, TakesStatusAndFlagsOfEveryErrorFromTheTable)
{
    for (const ErrorRow& row : errorTable) {
        if (row.kind == ErrorKind::None)
            continue;
        const ErrorAnswer answer { row.kind, "why", 0, 0 };
        EXPECT_EQ(encodeAnswer(answer).httpStatus, row.httpStatus);
        const nlohmann::json error = bodyOf(answer)["error"];
        EXPECT_EQ(error["kind"], std::string(row.name));
        EXPECT_EQ(error["message"], "why");
        EXPECT_EQ(error["retryable"], row.isRetryable);
        EXPECT_EQ(error["execution"], std::string(executionName(row.execution)));
    }
}

TEST(AnswerJson, GivesBothRevisionsOfAConflict)
{
    const ErrorAnswer answer { ErrorKind::RevisionConflict, "changed meanwhile", 4, 9 };
    EXPECT_EQ(encodeAnswer(answer).httpStatus, 409);
    EXPECT_EQ(bodyOf(answer)["error"]["expectedRevision"], 4);
    EXPECT_EQ(bodyOf(answer)["error"]["presentRevision"], 9);
}

TEST(AnswerJson, DistinguishesWaitingSucceededFailedAndRefusedJobs)
{
    JobAnswer answer;
    answer.status.key = { OrganisationName("zagara"), "k1" };
    EXPECT_EQ(encodeAnswer(answer).httpStatus, 202);
    answer.status.phase = JobPhase::Ended;
    EXPECT_EQ(encodeAnswer(answer).httpStatus, 200);
    EXPECT_FALSE(bodyOf(answer).contains("error"));
    answer.status.outcome = ErrorKind::TaskFailed;
    answer.status.message = "task 3: disk full";
    EXPECT_EQ(encodeAnswer(answer).httpStatus, 502);
    EXPECT_EQ(bodyOf(answer)["error"]["message"], "task 3: disk full");
    EXPECT_EQ(bodyOf(answer)["requestKey"], "k1");
    answer.status.refusal = ErrorKind::KeyReused;
    EXPECT_EQ(encodeAnswer(answer).httpStatus, 409);
    EXPECT_FALSE(bodyOf(answer).contains("phase"));
}

TEST(AnswerJson, ShowsSpecStatusAndRevisionOfAResource)
{
    Organisation organisation;
    organisation.name = OrganisationName("zagara");
    ConfigAnswer answer;
    answer.object = { organisation, 7, "change-1" };
    answer.lagging = { NodeName("s2") };
    const nlohmann::json body = bodyOf(answer);
    EXPECT_EQ(body["kind"], "organisations");
    EXPECT_EQ(body["name"], "zagara");
    EXPECT_EQ(body["spec"]["weight"], 1);
    EXPECT_EQ(body["revision"], 7);
    EXPECT_EQ(body["changeId"], "change-1");
    EXPECT_EQ(body["status"]["inForce"], false);
    EXPECT_EQ(body["status"]["lagging"], nlohmann::json({ "s2" }));
}

TEST(AnswerJson, ListsShardsNodesAndChanges)
{
    ShardsAnswer shards;
    shards.shards.resize(1);
    shards.shards[0].spec.name = ShardName("ct-a-1");
    shards.shards[0].epoch = 3;
    EXPECT_EQ(bodyOf(shards)["items"][0]["name"], "ct-a-1");
    EXPECT_EQ(bodyOf(shards)["items"][0]["epoch"], 3);
    NodesAnswer nodes;
    nodes.members.resize(1);
    nodes.members[0].role = NodeRole::Entry;
    EXPECT_EQ(bodyOf(nodes)["items"][0]["role"], "entry");
    ChangeAnswer change;
    change.revision = 12;
    change.deletedNames = { "old" };
    EXPECT_EQ(bodyOf(change), nlohmann::json::parse(R"({"revision":12,"changed":[],"deleted":["old"]})"));
    EXPECT_EQ(bodyOf(DeletedAnswer { 13 }), nlohmann::json::parse(R"({"revision":13})"));
}

} // namespace
} // namespace mangohall
