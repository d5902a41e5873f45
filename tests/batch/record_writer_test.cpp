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
