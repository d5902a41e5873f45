// Compares the records of whole sessions with the golden files. With the environment variable MANGOHALL_UPDATE_GOLDEN
// set, the tests write the golden files instead.
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "fuzz/job_oracle_base.h"
#include "golden/session_record_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

std::string goldenPath(const std::string& session)
{
    return absl::StrCat(GOLDEN_FOLDER, "/", session, ".txt");
}

// Compares the record with the golden file of the session, or writes that file.
void compareWithGolden(const std::string& session, const std::string& record)
{
    if (std::getenv("MANGOHALL_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(goldenPath(session)) << record;
        return;
    }
    std::ifstream file(goldenPath(session));
    std::stringstream golden;
    golden << file.rdbuf();
    EXPECT_EQ(record, golden.str()) << "if this change is intended, run tools/update-golden and review "
                                    << goldenPath(session);
}

// A small cluster whose configuration is active. The session starts at the beginning of the test.
class GoldenSession : public testing::Test {
protected:
    static ClusterOptions options()
    {
        ClusterOptions options;
        options.workersPerRack = 2;
        options.racksPerDataCentre = 1;
        return options;
    }

    void SetUp() override
    {
        m_cluster.declareBuilding();
        m_start = m_cluster.timeline().now();
    }

    // Runs until every request is answered, checks the answers and compares the record.
    void finish(const std::string& session)
    {
        EXPECT_TRUE(m_cluster.runUntilAnswered(absl::Minutes(5)));
        const ObservedHistory observed = observedHistoryOf(m_cluster);
        EXPECT_EQ(JobOracle(observed).check(), Findings());
        compareWithGolden(session, recordOf(observed, m_start));
    }

    Cluster m_cluster { options() };
    absl::Time m_start;
};

// Makes the tasks run for the job's expected run time and return `echo` as their result.
JobSpec withEcho(JobSpec spec, const std::string& echo)
{
    spec.payload
        = absl::StrCat("{\"runMs\":", absl::ToInt64Milliseconds(spec.expectedRunTime), ",\"echo\":\"", echo, "\"}");
    return spec;
}

TEST_F(GoldenSession, OrdinaryRequests)
{
    m_cluster.submit("e0", "small", "renewal-1", withEcho(singleTask(absl::Seconds(4)), "renewal-1"));
    m_cluster.runFor(absl::Seconds(1));
    m_cluster.submit(
        "e1", "large", "render", withEcho(gang(4, 4, Adjacency::SameDataCentre, absl::Seconds(6)), "render"));
    // The first caller has lost its connection and submits the same job at the other entry.
    m_cluster.submit("e1", "small", "renewal-1", withEcho(singleTask(absl::Seconds(4)), "renewal-1"));
    m_cluster.runFor(absl::Seconds(1));
    m_cluster.submit(
        "e0", "third", "too-wide", withEcho(gang(1, 9, Adjacency::SameWorker, absl::Seconds(1)), "too-wide"));
    m_cluster.submit("e0", "third", "typed-wrong", withEcho(singleTask(absl::Seconds(30)), "typed-wrong"));
    m_cluster.runFor(absl::Seconds(2));
    m_cluster.sendRequest(
        "e1", CancelRequest { { OrganisationName("third"), "typed-wrong" }, absl::Seconds(10) }, "third");
    m_cluster.put("e1", Organisation { OrganisationName("new"), 1, 10, 0 });
    m_cluster.runFor(absl::Seconds(5));
    m_cluster.sendRequest("e0", ReadRequest { ConfigKind::Organisation, "new" });
    m_cluster.submit("e0", "new", "first", withEcho(singleTask(absl::Seconds(1)), "first"));
    finish("ordinary-requests");
}

TEST_F(GoldenSession, Reclaim)
{
    for (const char* shard : { "hall-dc0", "hall-dc1", "hall-dc2" })
        m_cluster.put("e0",
            Guarantee { GuaranteeName(absl::StrCat("desk-", shard)), OrganisationName("small"), ShardName(shard), 1, 8,
                Adjacency::SameWorker });
    m_cluster.runFor(absl::Seconds(5));
    for (int job = 0; job < 6; ++job) {
        JobSpec spec = singleTask(absl::Seconds(20), 8);
        spec.isCheckpointable = true;
        spec.acceptsStop = job % 2 == 1;
        const std::string key = absl::StrCat("borrow-", job);
        m_cluster.submit("e0", "large", key, withEcho(spec, key));
    }
    m_cluster.runFor(absl::Seconds(8));
    JobSpec urgent = singleTask(absl::Seconds(3), 8);
    urgent.priority = Priority::Urgent;
    m_cluster.submit("e1", "small", "incident", withEcho(urgent, "incident"));
    finish("reclaim");
}

// The building shard's owner is killed after the placement is durable and before any task has been started.
TEST_F(GoldenSession, KillBetweenClaimAndStart)
{
    m_cluster.submit("e0", "small", "renewal-1", withEcho(singleTask(absl::Seconds(4)), "renewal-1"));
    const auto killOwnerIfClaimed = [this] {
        for (const StoreEntry& entry : m_cluster.store().list("")) {
            const auto* bucket = std::get_if<LedgerBucket>(&entry.value);
            for (const JobRecord& job : bucket == nullptr ? std::vector<JobRecord>() : bucket->jobs) {
                if (job.phase == JobPhase::Claimed) {
                    m_cluster.node(m_cluster.ownerOf(job.placement.front().shard.str())).kill();
                    return true;
                }
            }
        }
        return false;
    };
    for (int millisecond = 0; millisecond < 2000 && !killOwnerIfClaimed(); ++millisecond)
        m_cluster.runFor(absl::Milliseconds(1));
    EXPECT_TRUE(m_cluster.workerPool().starts().empty());
    finish("kill-between-claim-and-start");
}

} // namespace
} // namespace mangohall
