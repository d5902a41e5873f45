#include "batch/caller/record_writer_base.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);

CreateRecord recordOf(CallerId caller, const std::string& name)
{
    return { caller, { Collection::Cancellations, name }, Cancellation(), start + absl::Seconds(2) };
}

StoreReply replyOf(ErrorKind kind)
{
    StoreReply reply;
    reply.status = makeError(kind, "a fault of the test");
    return reply;
}

// The call of the only commit that the writer has started.
CallId commitOf(Outbox& outbox)
{
    CallId call = 0;
    for (const Effect& effect : outbox.take()) {
        if (const auto* store = std::get_if<StoreEffect>(&effect))
            call = store->call;
    }
    EXPECT_NE(call, 0U);
    return call;
}

TEST(RecordWriter, CarriesManyRecordsInOneCommit)
{
    RecordWriter writer;
    Outbox outbox;
    for (CallerId caller = 1; caller <= 10; ++caller)
        writer.add(recordOf(caller, std::to_string(caller)));
    writer.advance(outbox, start);
    EXPECT_EQ(writer.handleReply(commitOf(outbox), StoreReply(), start).size(), 10U);
}

TEST(RecordWriter, FindsItsOwnRecordAfterALostReply)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(recordOf(1, "a"));
    writer.advance(outbox, start);
    EXPECT_TRUE(writer.handleReply(commitOf(outbox), replyOf(ErrorKind::OutcomeUnknown), start).empty());
    writer.advance(outbox, start + absl::Milliseconds(100));
    StoreReply conflict = replyOf(ErrorKind::RevisionConflict);
    conflict.records = { { { Collection::Cancellations, "a" }, 7, Cancellation() } };
    const std::vector<CreateResult> results = writer.handleReply(commitOf(outbox), conflict, start);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().outcome, CreateResult::Outcome::Existed);
}

// NotWritten means that the record will never be written. After a lost reply this is not certain any more, so the
// writer must not report it even if all later commits are refused.
TEST(RecordWriter, NeverReportsNotWrittenAfterALostReply)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(recordOf(1, "a"));
    writer.advance(outbox, start);
    writer.handleReply(commitOf(outbox), replyOf(ErrorKind::OutcomeUnknown), start);
    absl::Time now = start;
    for (int i = 0; i < 5; ++i) {
        now += absl::Milliseconds(100);
        writer.advance(outbox, now);
        EXPECT_TRUE(writer.handleReply(commitOf(outbox), replyOf(ErrorKind::StoreRefused), now).empty());
    }
    const std::vector<CreateResult> results = writer.advance(outbox, start + absl::Seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().outcome, CreateResult::Outcome::Unknown);
}

TEST(RecordWriter, GivesUpSoonWhenTheStoreRefuses)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(recordOf(1, "a"));
    writer.advance(outbox, start);
    EXPECT_TRUE(writer.handleReply(commitOf(outbox), replyOf(ErrorKind::StoreRefused), start).empty());
    writer.advance(outbox, start + absl::Milliseconds(100));
    const std::vector<CreateResult> results
        = writer.handleReply(commitOf(outbox), replyOf(ErrorKind::StoreRefused), start + absl::Milliseconds(110));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().outcome, CreateResult::Outcome::NotWritten);
}

CreateRecord jobRecordOf(CallerId caller, const std::string& name, std::int64_t footprint)
{
    return { caller, { Collection::Jobs, name }, Job(), start + absl::Seconds(2), footprint };
}

// The reply to a commit beside a limit on submissions of this revision, and beside the jobs that exist.
StoreReply limitedReply(Revision revision, std::int64_t maxJobBytes, const std::vector<std::string>& existing = {})
{
    StoreReply reply = replyOf(ErrorKind::RevisionConflict);
    reply.records = { { { Collection::Admission, "" }, revision, AdmissionLimit { maxJobBytes, maxJobBytes } } };
    for (const std::string& name : existing)
        reply.records.push_back({ { Collection::Jobs, name }, 3, Job() });
    return reply;
}

// Guards against an owner that gets more jobs than it has memory for, and against a known job that is refused.
TEST(RecordWriter, RefusesAJobThatTheOwnerHasNoRoomForUnlessItExists)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(jobRecordOf(1, "large", 1000));
    writer.add(jobRecordOf(2, "known", 1000));
    writer.add(jobRecordOf(3, "small", 10));
    writer.advance(outbox, start);
    const std::vector<CreateResult> results
        = writer.handleReply(commitOf(outbox), limitedReply(7, 100, { "known" }), start);
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[0].outcome, CreateResult::Outcome::NoRoom);
    EXPECT_EQ(results[1].outcome, CreateResult::Outcome::Existed);
    EXPECT_TRUE(writer.isKnownToLackRoom(1000, false, start));
    EXPECT_FALSE(writer.isKnownToLackRoom(10, false, start));
    EXPECT_FALSE(writer.isKnownToLackRoom(1000, false, start + absl::Seconds(1)));
    // The small one is created beside this limit only.
    writer.advance(outbox, start);
    const Effects effects = outbox.take();
    const auto& commit = std::get<CommitRecords>(std::get<StoreEffect>(effects.front()).request);
    EXPECT_EQ(commit.expected.front().key.collection, Collection::Admission);
    EXPECT_EQ(commit.expected.front().revision, 7);
}

// Guards against "not run" for a job that an earlier commit without a reply may have created, or may create yet.
TEST(RecordWriter, NeverReportsNoRoomAfterALostReply)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(jobRecordOf(1, "large", 1000));
    writer.advance(outbox, start);
    EXPECT_TRUE(writer.handleReply(commitOf(outbox), replyOf(ErrorKind::OutcomeUnknown), start).empty());
    absl::Time now = start;
    for (int i = 0; i < 5; ++i) {
        now += absl::Milliseconds(100);
        writer.advance(outbox, now);
        EXPECT_TRUE(writer.handleReply(commitOf(outbox), limitedReply(7, 100), now).empty());
    }
    const std::vector<CreateResult> results = writer.advance(outbox, start + absl::Seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().outcome, CreateResult::Outcome::Unknown);
}

// Guards against commits whose encoding takes many times the memory of one job.
TEST(RecordWriter, WritesLargeJobsInCommitsOfTheirOwn)
{
    RecordWriter writer;
    Outbox outbox;
    for (const char* name : { "a", "b", "c" })
        writer.add(jobRecordOf(1, name, 700 << 10));
    writer.advance(outbox, start);
    EXPECT_EQ(outbox.take().size(), 3U);
}

TEST(RecordWriter, WritesTheRestOfABatchThatHadOneKnownRecord)
{
    RecordWriter writer;
    Outbox outbox;
    writer.add(recordOf(1, "a"));
    writer.add(recordOf(2, "b"));
    writer.advance(outbox, start);
    StoreReply conflict = replyOf(ErrorKind::RevisionConflict);
    conflict.records
        = { { { Collection::Cancellations, "a" }, 7, Cancellation() }, { { Collection::Cancellations, "b" }, 0, {} } };
    EXPECT_EQ(writer.handleReply(commitOf(outbox), conflict, start).size(), 1U);
    writer.advance(outbox, start);
    EXPECT_EQ(writer.handleReply(commitOf(outbox), StoreReply(), start).size(), 1U);
}

} // namespace
} // namespace mangohall::batch
